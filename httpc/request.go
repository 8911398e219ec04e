package httpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Request is a request to send.
type Request struct {
	Method string
	// Target is the path and query in their encoded form.
	Target string
	Host   string
	Header http.Header
	// SetHeader holds fields that replace those of the same name in Header. Header is not modified.
	SetHeader []HeaderField
	// Body is sent with its length, unless Stream is set.
	Body []byte
	// Stream is sent with Length bytes, or with chunked encoding if Length is below 0.
	Stream io.Reader
	Length int64
	// StopStream, if set, makes a blocked Read of Stream return. It is called if the exchange ends
	// before Stream was read to its end.
	StopStream func()
	// MaxIdleTime, if above 0, is the maximum idle time of a reused connection.
	MaxIdleTime time.Duration
	// NewConn sends the request on a new connection.
	NewConn bool
	// Once is set for a request that must not run twice. It is always sent on a new connection while the
	// server is unsound.
	Once bool
	// Key identifies the request, 0 if it need not be. A connection on which a request was rejected does
	// not carry one with the same key again, since the server may write the rejection a second time.
	Key uint64
	// IsRejection, if set, reports by its header whether a response rejects the request.
	IsRejection func(h http.Header) bool
	// MaxBuffer is the largest response body that Do buffers, in bytes. Larger ones are left in
	// Response.Stream; with 0, all are.
	MaxBuffer int64
	// IsMismatch, if set, reports by its header whether a response belongs to another request. Such a
	// response is discarded, and Do waits for the matching one on the same connection. first is set if
	// it is the first response on its connection.
	IsMismatch func(h http.Header, first bool) bool
	// MismatchTimeout limits that wait; with 0, only the context does.
	MismatchTimeout time.Duration
}

// HeaderField is a header field with its name in canonical form.
type HeaderField struct {
	Name, Value string
}

// Response is the response to a Request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, unless Stream is set.
	Body []byte
	// Stream is the body of a response larger than Request.MaxBuffer or to a HEAD request. A read error other than io.EOF
	// means that the body is truncated.
	Stream io.Reader
	// Length is the announced length of the body, below 0 if none was announced.
	Length int64
	// Carried is the number of requests that the connection carried before.
	Carried int
	// Discarded is the number of responses to other requests that arrived before this one.
	Discarded int

	close func()
}

// Close frees the connection. The connection is reused only if the body was read to its end.
func (r *Response) Close() {
	if r.close != nil {
		r.close()
		r.close = nil
	}
}

// maxIdleTime is the default of Request.MaxIdleTime.
const maxIdleTime = time.Hour

// maxInterimResponses is the maximum number of interim responses before the final one.
const maxInterimResponses = 8

// buffers holds the buffers in which requests are encoded.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exchange is a request on its connection and the response to it.
type exchange struct {
	ctx  context.Context //nolint:containedctx // An exchange lives as long as its request.
	p    *Pool
	c    *conn
	req  *Request
	stop func() bool
	// upload sends a streamed body; nil if the body was sent with the header.
	upload *upload
	// sentAll is set once the request was sent completely. It stays unset for a streamed body, whose
	// connection is not reused.
	sentAll bool
	// mismatches counts the responses to other requests that arrived before the matching one.
	mismatches int
}

// Do sends a request once and returns the response. The error is a *DialError if nothing was sent
// and a *NoResponseError otherwise.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*Response, error) {
	maxIdle := req.MaxIdleTime
	if maxIdle <= 0 {
		maxIdle = maxIdleTime
	}
	var c *conn
	if !req.NewConn && (!req.Once || !p.isUnsound(addr)) {
		c = p.takeIdle(addr, maxIdle, req.Key)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	x := &exchange{ctx: ctx, p: p, c: c, req: req}
	x.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(pastDeadline) })
	resp, err := x.run()
	if err != nil {
		if ctx.Err() != nil && x.mismatches == 0 {
			err = ctx.Err()
		}
		x.abort()
		return nil, &NoResponseError{Addr: addr, Carried: c.carried, Err: err}
	}
	return resp, nil
}

func (x *exchange) run() (*Response, error) {
	if err := x.send(); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	resp, err := x.readHeader() //nolint:bodyclose // The body ends with its connection.
	if err != nil {
		return nil, errors.Wrap(err, "read response header")
	}
	if x.isMismatch(resp) {
		resp, err = x.skipMismatched(resp) //nolint:bodyclose // The body ends with its connection.
	}
	if err != nil {
		return nil, err
	}
	if x.req.IsRejection != nil && x.req.IsRejection(resp.Header) {
		x.c.addRejected(x.req.Key)
	}
	if isCloseDelimited(resp) {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, x: x}
	}
	resp.Body = x.guardBody(resp.Body)
	return x.readBody(resp)
}

// abort closes the connection and waits for the goroutine that sends the body.
func (x *exchange) abort() {
	x.stop()
	_ = x.c.nc.Close()
	if x.upload != nil {
		x.upload.abort(x.req.StopStream)
	}
}

// send writes the header and the body. A streamed body is sent while the response is read, since a
// server may respond before it has read the complete body.
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
	x.upload = startUpload(x.c.nc, x.req)
	return nil
}

// encode writes the header, and the body if it is not streamed.
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

// readHeader reads the header of the final response and skips interim responses.
func (x *exchange) readHeader() (*http.Response, error) {
	req := &http.Request{Method: x.req.Method}
	limit := x.p.cfg.MaxHeaderBytes
	for range maxInterimResponses {
		resp, n, err := x.nextResponse(req, limit)
		if err != nil {
			return nil, err
		}
		limit -= n
		final, err := isFinal(resp)
		if err != nil {
			x.p.recordStray(x.c, StrayStatus)
			return nil, err
		}
		if final {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// readBody reads a body of up to MaxBuffer bytes. It leaves a longer one to the caller.
func (x *exchange) readBody(resp *http.Response) (*Response, error) {
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Carried: x.c.carried, Discarded: x.mismatches}
	// Parse the header now, as the caller may modify it before the exchange ends.
	x.c.idleTimeout = parseIdleTimeout(resp.Header, x.p.cfg.IdleTimeout)
	// The response to a HEAD request announces the length of a body that it does not have.
	if resp.ContentLength > x.req.MaxBuffer || x.req.Method == http.MethodHead {
		x.streamBody(out, resp, nil)
		return out, nil
	}
	prefix, err := readUpTo(resp.Body, resp.ContentLength, x.req.MaxBuffer)
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if int64(len(prefix)) > x.req.MaxBuffer {
		x.streamBody(out, resp, prefix)
		return out, nil
	}
	out.Body = prefix
	x.release(resp, true)
	return out, nil
}

// readUpTo reads a body of the given length. If the length is below 0, it reads at most one byte more
// than buffer.
func readUpTo(r io.Reader, length, buffer int64) ([]byte, error) {
	if length >= 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r, buffer+1))
}

// streamBody leaves a large body to the caller. prefix was read from it already.
func (x *exchange) streamBody(out *Response, resp *http.Response, prefix []byte) {
	body := &eofReader{ctx: x.ctx, r: io.MultiReader(bytes.NewReader(prefix), resp.Body)}
	out.Stream = body
	out.close = func() { x.release(resp, body.atEOF) }
}

// eofReader records whether a body was read to EOF. It fails once ctx is done, also while there are
// buffered bytes, since the rest can't be read then.
type eofReader struct {
	ctx   context.Context //nolint:containedctx // That of the exchange.
	r     io.Reader
	atEOF bool
}

// Read implements io.Reader.
func (e *eofReader) Read(b []byte) (int, error) {
	if err := e.ctx.Err(); err != nil && !e.atEOF {
		return 0, err
	}
	n, err := e.r.Read(b)
	e.atEOF = err == io.EOF
	return n, err
}

// release returns the connection to the pool if it can safely carry another request. Otherwise it
// closes the connection.
func (x *exchange) release(resp *http.Response, complete bool) {
	if complete && x.c.br.Buffered() > 0 {
		x.p.recordStray(x.c, StrayAfter)
	}
	if !x.stop() || !x.isReusable(resp, complete) || !x.p.mayKeep(x.c, x.req.Once) {
		x.abort()
		return
	}
	if x.c.br.Size() > readBufferSize {
		x.c.setReadBuffer(readBufferSize)
	}
	x.c.carried++
	x.c.idleSince = x.p.cfg.Now()
	x.p.putIdle(x.c)
}

// isReusable reports whether the connection can carry another request: request and response are complete,
// no response was mismatched, no further bytes arrived and neither side ends the connection.
func (x *exchange) isReusable(resp *http.Response, complete bool) bool {
	return complete && x.sentAll && x.mismatches == 0 && !resp.Close && !isCloseDelimited(resp) && x.c.br.Buffered() == 0
}
