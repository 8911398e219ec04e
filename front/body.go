package front

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/httpc"
)

const (
	// stopTimeout is how long a body may still arrive after the exchange that sends it on has ended.
	stopTimeout = 200 * time.Millisecond
	// drainTimeout is how long net/http may read the rest of a body after the response. Without that, the
	// close of the connection may destroy a response that the caller has not read yet.
	drainTimeout = 500 * time.Millisecond
)

// bodyStream is a request body that is too large to buffer. It is sent on while it arrives, also
// after the response has begun.
type bodyStream struct {
	r io.Reader
	// ended is set once the body was read to its end or failed.
	ended atomic.Bool
	conn  *http.ResponseController
	// digest is that of the beginning of the body.
	digest uint64
}

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// stop makes a blocked Read return soon. No further request can be read from the connection then.
func (b *bodyStream) stop() {
	if b.ended.Load() {
		// net/http reads from the connection until the handler returns, to notice that the caller left.
		return
	}
	// This fails only if the connection is closed, and Read with it.
	_ = b.conn.SetReadDeadline(time.Now().Add(stopTimeout))
}

// readBody buffers a body of up to maxBufferedBody bytes, which must arrive by the deadline. It returns
// a longer body as a stream, once so much of it has arrived.
func readBody(w http.ResponseWriter, hr *http.Request, deadline time.Time) ([]byte, *bodyStream, error) {
	if hr.ContentLength == 0 {
		return nil, nil, nil
	}
	stream := &bodyStream{r: hr.Body, conn: http.NewResponseController(w)}
	// The deadlines can't be set only on a closed connection, where reading fails as well.
	_ = stream.conn.SetReadDeadline(deadline)
	prefix, err := io.ReadAll(io.LimitReader(hr.Body, maxBufferedBody+1))
	if err != nil {
		return nil, nil, err
	}
	_ = stream.conn.SetReadDeadline(time.Time{})
	if len(prefix) > maxBufferedBody {
		stream.digest = action.Digest(prefix)
		stream.r = io.MultiReader(bytes.NewReader(prefix), hr.Body)
		return nil, stream, nil
	}
	return prefix, nil, nil
}

// beginResponse must be called before the response to a request is written, and the returned function
// after it. If the body of the request was not read to its end, net/http would first read and drop the
// rest of it, beside the goroutine that sends it on and however long that takes.
func (r *request) beginResponse(w http.ResponseWriter, hr *http.Request) (end func()) {
	if hr.ContentLength == 0 || r.buffered || r.stream != nil && r.stream.ended.Load() {
		return func() {}
	}
	conn := http.NewResponseController(w)
	// This fails only if the server is not that of net/http.
	_ = conn.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	return func() {
		// This fails only on a closed connection.
		_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	}
}

// setStream sets the streamed body of a request to send, if it has one.
func (r *request) setStream(req *httpc.Request) {
	if r.stream != nil {
		req.Stream, req.StopStream, req.Length = r.stream, r.stream.stop, r.length
	}
}
