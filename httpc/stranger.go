package httpc

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxMismatches bounds the answers to other requests that are discarded before
// the own one.
const maxMismatches = 4

// MismatchError reports an answer to another request with no own answer
// behind it.
type MismatchError struct {
	// Discarded is the number of answers to other requests.
	Discarded int
	// Err says why the wait for the own answer ended.
	Err error
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%d answers to other requests, then: %v", e.Discarded, e.Err)
}

func (e *MismatchError) Unwrap() error {
	return e.Err
}

func (x *exchange) isMismatch(resp *http.Response) bool {
	return x.req.IsMismatch != nil && x.req.IsMismatch(resp.Header)
}

// skipMismatched discards answers to other requests until the own one comes. A server
// may send an answer a second time when the connection is in use again; the
// request that it runs meanwhile must not be taken for lost.
func (x *exchange) skipMismatched(resp *http.Response) (*http.Response, error) {
	if x.req.MismatchTimeout > 0 {
		x.setReadDeadline(time.Now().Add(x.req.MismatchTimeout))
	}
	for {
		x.mismatches++
		if x.mismatches > maxMismatches {
			return nil, &MismatchError{Discarded: x.mismatches, Err: errors.New("too many")}
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

// setReadDeadline sets the deadline of reads unless the context has ended, which sets
// its own.
func (x *exchange) setReadDeadline(t time.Time) {
	// This fails only on a closed connection, as the next read does.
	_ = x.c.nc.SetReadDeadline(t)
	if x.ctx.Err() != nil {
		_ = x.c.nc.SetReadDeadline(pastDeadline)
	}
}

// discard reads a body whose end is known.
func (x *exchange) discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("the answer ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, x.req.MaxBuffer+1))
	if err == nil && n > x.req.MaxBuffer {
		err = errors.New("the answer is too long")
	}
	return err
}
