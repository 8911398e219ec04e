package front

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sycamorespread.dev/httpc"
)

// bodyStream is a request body that is too large to buffer. It is sent on while it arrives, also
// after the response has begun.
type bodyStream struct {
	r io.Reader
	// ended is set once the body was read to its end or failed.
	ended atomic.Bool
	conn  *http.ResponseController
}

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// stop makes a blocked Read return. No further request can be read from the connection then.
func (b *bodyStream) stop() {
	if b.ended.Load() {
		// net/http reads from the connection until the handler returns, to notice that the caller left.
		return
	}
	// This fails only if the connection is closed, and Read with it.
	_ = b.conn.SetReadDeadline(time.Unix(1, 0))
}

// readBody buffers a body of up to maxBufferedBody bytes, which must arrive by the deadline. It returns
// a longer body as a stream.
func readBody(w http.ResponseWriter, hr *http.Request, deadline time.Time) ([]byte, *bodyStream, error) {
	if hr.ContentLength == 0 {
		return nil, nil, nil
	}
	stream := &bodyStream{r: hr.Body, conn: http.NewResponseController(w)}
	if hr.ContentLength > maxBufferedBody {
		return nil, stream, nil
	}
	// The deadlines can't be set only on a closed connection, where reading fails as well.
	_ = stream.conn.SetReadDeadline(deadline)
	prefix, err := io.ReadAll(io.LimitReader(hr.Body, maxBufferedBody+1))
	if err != nil {
		return nil, nil, err
	}
	_ = stream.conn.SetReadDeadline(time.Time{})
	if len(prefix) > maxBufferedBody {
		stream.r = io.MultiReader(strings.NewReader(string(prefix)), hr.Body)
		return nil, stream, nil
	}
	return prefix, nil, nil
}

// setStream sets the streamed body of a request to send, if it has one.
func (r *request) setStream(req *httpc.Request) {
	if r.stream != nil {
		req.Stream, req.StopStream, req.Length = r.stream, r.stream.stop, r.length
	}
}
