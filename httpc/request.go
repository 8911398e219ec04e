package httpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Request is one request to send.
type Request struct {
	Method string
	// Target is the path and query as they go on the wire.
	Target string
	Host   string
	Header http.Header
	// SetHeader holds fields that go in place of those of the same name in Header, which is left as it is.
	SetHeader []HeaderField
	// Body is sent with its length. Stream, when set, is sent in its place.
	Body []byte
	// Stream is sent with Length bytes, or in chunks when Length is below 0.
	Stream io.Reader
	Length int64
	// MaxIdleTime, when above 0, is how long a reused connection may have been idle.
	MaxIdleTime time.Duration
	// MaxBuffer is the largest body that is read whole before Do returns, in bytes. With 0 any body is left to Rest.
	MaxBuffer int64
	// IsMismatch, when set, reports whether an answer is to another request, by its header. Such an answer is
	// discarded, and the request's own is awaited behind it.
	IsMismatch func(http.Header) bool
	// MismatchTimeout bounds that wait; with 0 the context does.
	MismatchTimeout time.Duration
}

// HeaderField is one field of a header; its name is in canonical form.
type HeaderField struct {
	Name, Value string
}

// Response is an answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, unless Rest is set.
	Body []byte
	// Stream is the body of an answer larger than the buffer of the request.
	// An error other than io.EOF means that the body is not whole.
	Stream io.Reader
	// Length is the announced length of the body, below 0 when there is none.
	Length int64

	close func()
}

// Close frees the connection.
func (r *Response) Close() {
	if r.close != nil {
		r.close()
		r.close = nil
	}
}

// maxIdleTime is used for Fresh when a request sets none.
const maxIdleTime = time.Hour

// maxInterimResponses bounds the interim answers before the final one.
const maxInterimResponses = 8

// buffers holds the buffers that requests are formed in.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exchange is one request on its connection.
type exchange struct {
	ctx  context.Context //nolint:containedctx // An exchange lives as long as its request.
	p    *Pool
	c    *conn
	req  *Request
	stop func() bool
	// bodySend ends when the body is sent; nil when it was sent with the header.
	bodySend *errgroup.Group
	// sentAll tells that the request was sent wholly.
	sentAll bool
	// mismatches counts the answers to other requests that came before the own one.
	mismatches int
}

// Do sends a request once and returns its answer. It returns a *DialError
// when nothing was sent and a *NoResponseError otherwise.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*Response, error) {
	fresh := req.MaxIdleTime
	if fresh <= 0 {
		fresh = maxIdleTime
	}
	c, err := p.getConn(ctx, addr, fresh)
	if err != nil {
		return nil, err
	}
	x := &exchange{ctx: ctx, p: p, c: c, req: req}
	x.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(pastDeadline) })
	resp, err := x.run()
	if err != nil {
		x.abort()
		if ctx.Err() != nil && x.mismatches == 0 {
			err = ctx.Err()
		}
		return nil, &NoResponseError{Addr: addr, Reused: c.reused, Err: err}
	}
	return resp, nil
}

func (x *exchange) run() (*Response, error) {
	if err := x.send(); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	resp, err := x.readHeader() //nolint:bodyclose // The body ends with its connection.
	if err != nil {
		return nil, errors.Wrap(err, "read the header")
	}
	if x.isMismatch(resp) {
		resp, err = x.skipMismatched(resp) //nolint:bodyclose // The body ends with its connection.
	}
	if err != nil {
		return nil, err
	}
	return x.readBody(resp)
}

// abort breaks the connection and waits for the task that sends the body.
func (x *exchange) abort() {
	x.stop()
	_ = x.c.nc.Close()
	if x.bodySend != nil {
		// Its error is that of the closed connection.
		_ = x.bodySend.Wait()
	}
}

// send writes the header and the body. A streamed body goes on beside the
// reading of the answer, since a server may answer before it has read all.
func (x *exchange) send() error {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.req.encode(b)
	if _, err := x.c.nc.Write(b.Bytes()); err != nil {
		return err
	}
	if x.req.Stream == nil {
		x.sentAll = true
		return nil
	}
	x.bodySend = new(errgroup.Group)
	x.bodySend.Go(x.stream)
	return nil
}

func (x *exchange) stream() error {
	if x.req.Length >= 0 {
		n, err := io.Copy(x.c.nc, io.LimitReader(x.req.Stream, x.req.Length))
		if err == nil && n < x.req.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			// The server must not wait for the rest.
			_ = x.c.nc.SetDeadline(pastDeadline)
		}
		return err
	}
	w := httputil.NewChunkedWriter(x.c.nc)
	if _, err := io.Copy(w, x.req.Stream); err != nil {
		_ = x.c.nc.SetDeadline(pastDeadline)
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(x.c.nc, "\r\n")
	return err
}

// encode writes the header, and the body when it is not streamed.
func (r *Request) encode(b *bytes.Buffer) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\n")
	writeField(b, "Host", r.Host)
	for name, values := range r.Header {
		if r.overrides(name) {
			continue
		}
		for _, v := range values {
			writeField(b, name, v)
		}
	}
	for _, f := range r.SetHeader {
		writeField(b, f.Name, f.Value)
	}
	switch {
	case r.Stream != nil && r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.Stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n\r\n")
		b.Write(r.Body)
	default:
		b.WriteString("\r\n")
	}
}

func (r *Request) overrides(name string) bool {
	return slices.ContainsFunc(r.SetHeader, func(f HeaderField) bool { return f.Name == name })
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// readHeader reads the final answer's header.
func (x *exchange) readHeader() (*http.Response, error) {
	x.c.limiter.start(x.p.cfg.MaxHeaderBytes)
	defer x.c.limiter.stop()
	asked := &http.Request{Method: x.req.Method}
	for range maxInterimResponses {
		resp, err := http.ReadResponse(x.c.br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switches protocols")
		}
	}
	return nil, errors.New("too many interim answers")
}

// readBody reads the body up to the buffer of the request.
func (x *exchange) readBody(resp *http.Response) (*Response, error) {
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	// The caller may change the header before the exchange ends.
	x.c.idleTimeout = parseIdleTimeout(resp.Header, x.p.cfg.IdleTimeout)
	if resp.ContentLength > x.req.MaxBuffer {
		x.streamBody(out, resp, nil)
		return out, nil
	}
	head, err := readUpTo(resp.Body, resp.ContentLength, x.req.MaxBuffer)
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	if int64(len(head)) > x.req.MaxBuffer {
		x.streamBody(out, resp, head)
		return out, nil
	}
	out.Body = head
	x.release(resp, true)
	return out, nil
}

// readUpTo reads a body of the announced length, at most one byte more than
// the buffer.
func readUpTo(r io.Reader, length, buffer int64) ([]byte, error) {
	if length >= 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r, buffer+1))
}

// streamBody hands the rest of a large body to the caller.
func (x *exchange) streamBody(out *Response, resp *http.Response, head []byte) {
	end := &bodyReader{r: io.MultiReader(bytes.NewReader(head), resp.Body)}
	out.Stream = end
	out.close = func() { x.release(resp, end.atEOF) }
}

// bodyReader notes whether a body was read to its end.
type bodyReader struct {
	r     io.Reader
	atEOF bool
}

// Read implements io.Reader.
func (e *bodyReader) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	e.atEOF = err == io.EOF
	return n, err
}

// release keeps the connection when nothing on it is in doubt.
func (x *exchange) release(resp *http.Response, whole bool) {
	if !x.stop() || x.mismatches > 0 || !whole || !x.sentAll || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || x.c.br.Buffered() > 0 {
		x.abort()
		return
	}
	x.c.idleSince = x.p.cfg.Now()
	x.p.putIdle(x.c)
}
