package httpc

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
)

// HeaderSizeError reports a response whose header, including those of interim responses, exceeds
// the limit of the Pool.
type HeaderSizeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

func (e *HeaderSizeError) Error() string {
	return fmt.Sprintf("response header exceeds %d bytes", e.Limit)
}

// SpliceError reports a response whose bytes belong to more than one response.
type SpliceError struct {
	// Field is the name of the header field that occurs more than once; empty if the header or the body
	// contains another status line.
	Field string
	// Body is set if the body contains another status line.
	Body bool
}

func (e *SpliceError) Error() string {
	switch {
	case e.Field != "":
		return fmt.Sprintf("response header has several fields %s", e.Field)
	case e.Body:
		return "response body contains another response"
	}
	return "response header contains another status line"
}

// statusLine matches the beginning of a response. The parser accepts several spaces.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d +\d\d\d`)

// headerEnds are the ends of a header: an empty line, after a line that ends in LF or CRLF.
var headerEnds = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// headerLength returns the length of the header at the beginning of b, of which the first scanned bytes
// contain no end; 0 if the header is incomplete.
func headerLength(b []byte, scanned int) int {
	n := 0
	from := max(0, scanned-len(headerEnds[0])+1)
	for _, end := range headerEnds {
		if i := bytes.Index(b[from:], end); i >= 0 && (n == 0 || from+i+len(end) < n) {
			n = from + i + len(end)
		}
	}
	return n
}

// peekHeader waits for a complete header of up to limit bytes and returns it without consuming it.
func (c *conn) peekHeader(limit int64) ([]byte, error) {
	scanned := 0
	for {
		// This returns what is buffered and can't fail.
		b, _ := c.br.Peek(c.br.Buffered())
		n := headerLength(b, scanned)
		switch {
		case int64(n) > limit, n == 0 && int64(len(b)) >= limit:
			return nil, &HeaderSizeError{Limit: limit}
		case n > 0:
			return b[:n], nil
		case len(b) == c.br.Size():
			c.setReadBuffer(2 * c.br.Size())
		}
		scanned = len(b)
		if _, err := c.br.Peek(scanned + 1); err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// setReadBuffer changes the size of the read buffer and keeps its contents.
func (c *conn) setReadBuffer(size int) {
	b, _ := c.br.Peek(c.br.Buffered())
	buffered := bytes.Clone(b)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.nc), size)
}

// nextResponse reads the header of the next response, of up to limit bytes, and returns its length. A
// faulty server may send a part of another response first. The parser would read on into the response
// that is due, and believe fields of both, so a header must be that of one response.
func (x *exchange) nextResponse(req *http.Request, limit int64) (*http.Response, int64, error) {
	header, err := x.c.peekHeader(limit)
	if err != nil {
		return nil, 0, err
	}
	length := int64(len(header))
	if statusLine.Match(header[1:]) {
		return nil, 0, x.spliced(&SpliceError{})
	}
	resp, err := http.ReadResponse(x.c.br, req)
	if err != nil {
		return nil, 0, err
	}
	for _, name := range x.p.cfg.SingleFields {
		if len(resp.Header[name]) > 1 {
			return nil, 0, x.spliced(&SpliceError{Field: name})
		}
	}
	return resp, length, nil
}

// spliced records that the server is unsound and returns err.
func (x *exchange) spliced(err *SpliceError) error {
	x.p.recordStray(x.c, StrayInside)
	return err
}
