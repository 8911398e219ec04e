package httpc

import (
	"fmt"
	"net/http"
)

// The status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError reports a response that is neither a final response of HTTP/1 nor an interim one before it.
// What follows it belongs to no request.
type StatusError struct {
	// Proto and Status are those of its status line. Status has lost a sign and leading zeros.
	Proto  string
	Status int
	// Body is set if it is an interim response that announces a body.
	Body bool
}

func (e *StatusError) Error() string {
	if e.Body {
		return fmt.Sprintf("interim response with status %d announces a body", e.Status)
	}
	return fmt.Sprintf("response with protocol %q and status %d is no response of HTTP/1", e.Proto, e.Status)
}

// isFinal reports whether a response is the final one. It returns a *StatusError unless it is that or an
// interim one. The parser accepts any three characters that are a number. Bytes of the body of such a response must
// not be taken for the next one.
func isFinal(resp *http.Response) (bool, error) {
	err := &StatusError{Proto: resp.Proto, Status: resp.StatusCode}
	if resp.ProtoMajor != 1 || resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return false, err
	}
	if resp.StatusCode >= http.StatusOK {
		return true, nil
	}
	length := resp.Header.Get("Content-Length")
	if len(resp.TransferEncoding) > 0 || length != "" && length != "0" {
		err.Body = true
		return false, err
	}
	return false, nil
}
