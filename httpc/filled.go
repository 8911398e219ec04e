package httpc

import (
	"bytes"
	"io"
)

// statusLineStart begins a response.
var statusLineStart = []byte("HTTP/1.")

// overlap is the number of bytes at the end of a read that may begin statusLineStart.
const overlap = len("HTTP/1.") - 1

// filledBody is a response body on a connection that has carried a response before. A faulty server
// may cut a body and write another response, which then looks like the rest. Such a body contains the
// beginning of a response and comes from a server that sends bytes that belong to no request. It fails
// in place of its end.
type filledBody struct {
	io.ReadCloser
	x *exchange
	// last are the last bytes read, which may begin a status line.
	last []byte
	// found is set once the body contains the beginning of a response.
	found bool
}

// guardBody makes the body of a response fail if it was filled by another response.
func (x *exchange) guardBody(body io.ReadCloser) io.ReadCloser {
	if x.c.carried == 0 && x.mismatches == 0 {
		return body
	}
	return &filledBody{ReadCloser: body, x: x}
}

// Read implements io.Reader. It returns a *SpliceError in place of the last bytes of a filled body.
func (f *filledBody) Read(p []byte) (int, error) {
	n, err := f.ReadCloser.Read(p)
	f.scan(p[:n])
	if err == io.EOF && (f.found && f.x.hasStray() || f.endsInside()) {
		return 0, f.x.spliced(&SpliceError{Body: true})
	}
	return n, err
}

// scan looks for the beginning of a response in the next bytes of the body.
func (f *filledBody) scan(b []byte) {
	if f.found || len(b) == 0 {
		return
	}
	f.last = append(f.last, b[:min(len(b), overlap)]...)
	f.found = bytes.Contains(f.last, statusLineStart) || bytes.Contains(b, statusLineStart)
	if len(b) > overlap {
		f.last = append(f.last[:0], b[len(b)-overlap:]...)
	} else {
		f.last = f.last[max(0, len(f.last)-overlap):]
	}
}

// endsInside reports whether the end of the body is inside the beginning of a response.
func (f *filledBody) endsInside() bool {
	// This returns what is buffered and can't fail.
	next, _ := f.x.c.br.Peek(min(overlap, f.x.c.br.Buffered()))
	return bytes.Contains(append(f.last, next...), statusLineStart)
}

// hasStray reports whether the server has sent bytes lately that belong to no request, or does so now.
func (x *exchange) hasStray() bool {
	return x.p.isUnsound(x.c.addr) || x.c.check() == peekBytes
}
