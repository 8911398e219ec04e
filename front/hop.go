package front

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/httpc"
	"sycamorespread.dev/route"
)

const (
	// hopGrace is how much longer than the deadline the entry waits for the ingress's word.
	hopGrace = 150 * time.Millisecond
	// freshUnrepeatable is how long a connection may have been idle that takes an unrepeatable request.
	freshUnrepeatable = 2 * time.Second
)

// send carries a request to the Front beside the target, or to the own
// backend server.
func (f *Front) send(ctx context.Context, r *request, to route.Target) *answer {
	if to.ID == f.Self {
		return f.runUntil(ctx, r)
	}
	now := f.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	// One context with a timer costs half of two nested ones.
	late := time.AfterFunc(r.deadline.Add(hopGrace).Sub(now), func() { cancel(context.DeadlineExceeded) })
	end := func() {
		late.Stop()
		cancel(nil)
	}
	s := &sent{began: now, cancel: cancel, keep: !r.route.Repeatable}
	f.contacts.begin(to.ID, s)
	resp, err := f.Peers.Do(ctx, to.Addr, r.hop(now))
	f.contacts.end(to.ID, s, err == nil, f.Now())
	if err != nil {
		defer end()
		return f.hopFailure(ctx, to.ID, err)
	}
	ans := decodeHop(resp.Status, resp.Header)
	ans.body, ans.rest, ans.length = resp.Body, resp.Rest, resp.Length
	ans.close = func() {
		resp.Close()
		end()
	}
	return ans
}

func (f *Front) hopFailure(ctx context.Context, id string, err error) *answer {
	var dial *httpc.DialError
	unreached := errors.As(err, &dial)
	cause := context.Cause(ctx)
	silent := errors.Is(cause, errSilent)
	if unreached && (ctx.Err() == nil || silent) {
		if f.contacts.lose(id, f.Now()) {
			f.Table.SetUnreachable(id, true)
			f.Log.WithField("peer", id).WithField("err", err).Warn("peer unreachable")
		}
		return refusal(whyDial)
	}
	switch {
	case silent:
		return lost(whySilent)
	case unreached:
		return refusal(whyGone)
	case errors.Is(cause, context.DeadlineExceeded):
		return lost(whyTimeout)
	case ctx.Err() != nil:
		return lost(whyGone)
	}
	return lost(whyLost)
}

// hop returns the request as it goes to another Front.
func (r *request) hop(now time.Time) *httpc.Request {
	req := &httpc.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Header: r.header,
		Set:    []httpc.Field{{Name: hopField, Value: r.encode(now)}},
		Body:   r.body,
		Stream: r.stream,
		Length: r.length,
		Buffer: answerBuffer,
	}
	if !r.route.Repeatable {
		req.Fresh = freshUnrepeatable
	}
	return req
}

// readBody reads a body up to the buffer, and returns the rest as a stream when
// it is longer.
func readBody(body io.Reader, length int64) ([]byte, io.Reader, error) {
	if length == 0 {
		return nil, nil, nil
	}
	if length > bodyBuffer {
		return nil, body, nil
	}
	head, err := io.ReadAll(io.LimitReader(body, bodyBuffer+1))
	if err != nil {
		return nil, nil, err
	}
	if len(head) > bodyBuffer {
		return nil, io.MultiReader(strings.NewReader(string(head)), body), nil
	}
	return head, nil, nil
}
