package httpc

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxStrangers bounds the answers to other requests that are discarded before
// the own one.
const maxStrangers = 4

// StrangerError reports an answer to another request with no own answer
// behind it.
type StrangerError struct {
	// Discarded is the number of answers to other requests.
	Discarded int
	// Err says why the wait for the own answer ended.
	Err error
}

func (e *StrangerError) Error() string {
	return fmt.Sprintf("%d answers to other requests, then: %v", e.Discarded, e.Err)
}

func (e *StrangerError) Unwrap() error {
	return e.Err
}

func (x *exchange) isStranger(resp *http.Response) bool {
	return x.req.Stranger != nil && x.req.Stranger(resp.Header)
}

// own discards answers to other requests until the own one comes. A server
// may send an answer a second time when the connection is in use again; the
// request that it runs meanwhile must not be taken for lost.
func (x *exchange) own(resp *http.Response) (*http.Response, error) {
	if x.req.StrangerWait > 0 {
		x.readBy(time.Now().Add(x.req.StrangerWait))
	}
	for {
		x.strangers++
		if x.strangers > maxStrangers {
			return nil, &StrangerError{Discarded: x.strangers, Err: errors.New("too many")}
		}
		if err := x.discard(resp); err != nil {
			return nil, &StrangerError{Discarded: x.strangers, Err: err}
		}
		var err error
		if resp, err = x.header(); err != nil {
			return nil, &StrangerError{Discarded: x.strangers, Err: err}
		}
		if !x.isStranger(resp) {
			x.readBy(time.Time{})
			return resp, nil
		}
	}
}

// readBy sets the deadline of reads unless the context has ended, which sets
// its own.
func (x *exchange) readBy(t time.Time) {
	// This fails only on a closed connection, as the next read does.
	_ = x.c.nc.SetReadDeadline(t)
	if x.ctx.Err() != nil {
		_ = x.c.nc.SetReadDeadline(past)
	}
}

// discard reads a body whose end is known.
func (x *exchange) discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("the answer ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, x.req.Buffer+1))
	if err == nil && n > x.req.Buffer {
		err = errors.New("the answer is too long")
	}
	return err
}
