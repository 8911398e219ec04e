package httpc

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxMismatches is the maximum number of responses to other requests that are discarded before the
// matching one.
const maxMismatches = 4

// MismatchError reports a response to another request that was not followed by the matching one.
type MismatchError struct {
	// Discarded is the number of responses to other requests.
	Discarded int
	// Err is why the wait for the matching response ended.
	Err error
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%d responses to other requests discarded, then: %v", e.Discarded, e.Err)
}

func (e *MismatchError) Unwrap() error {
	return e.Err
}

func (x *exchange) isMismatch(resp *http.Response) bool {
	return x.req.IsMismatch != nil && x.req.IsMismatch(resp.Header, x.c.carried == 0 && x.mismatches == 0)
}

// skipMismatched discards responses to other requests until the matching one arrives. A server may
// send a response twice, the second time when the connection carries the next request. The response
// to that request is not lost and must not be reported so.
func (x *exchange) skipMismatched(resp *http.Response) (*http.Response, error) {
	if x.req.MismatchTimeout > 0 {
		x.setReadDeadline(time.Now().Add(x.req.MismatchTimeout))
	}
	for {
		x.mismatches++
		x.p.recordStray(x.c, StrayBefore)
		if x.mismatches > maxMismatches {
			return nil, &MismatchError{Discarded: x.mismatches, Err: errors.New("too many mismatched responses")}
		}
		if err := x.discard(resp); err != nil {
			return nil, &MismatchError{Discarded: x.mismatches, Err: err}
		}
		var err error
		if resp, err = x.readHeader(); err != nil {
			return nil, &MismatchError{Discarded: x.mismatches, Err: err}
		}
		if !x.isMismatch(resp) {
			x.setReadDeadline(time.Time{})
			return resp, nil
		}
	}
}

// setReadDeadline sets the read deadline. If the context is done, it restores pastDeadline, which the
// end of the context has set.
func (x *exchange) setReadDeadline(deadline time.Time) {
	// This fails only on a closed connection, where the next read fails as well.
	_ = x.c.nc.SetReadDeadline(deadline)
	if x.ctx.Err() != nil {
		_ = x.c.nc.SetReadDeadline(pastDeadline)
	}
}

// discard reads and drops the body of a mismatched response. It fails if the body may contain the
// response that is due: the stray response may have been cut, and its body filled by what follows. A
// chunked body can hide that in the extension of a chunk. It also fails if the body is delimited by the
// close of the connection or exceeds MaxBuffer.
func (x *exchange) discard(resp *http.Response) error {
	if isCloseDelimited(resp) {
		return errors.New("mismatched response body is delimited by connection close")
	}
	if len(resp.TransferEncoding) > 0 {
		return errors.New("mismatched response body is chunked")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.req.MaxBuffer+1))
	if err == nil && int64(len(body)) > x.req.MaxBuffer {
		err = errors.New("mismatched response body is too long")
	}
	if err == nil && statusLine.Match(body) {
		err = x.spliced(&SpliceError{Body: true})
	}
	return err
}
