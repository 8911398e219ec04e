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
	// peerResponseGrace is how much longer than the deadline the entry waits for the ingress's word.
	peerResponseGrace = 150 * time.Millisecond
	// maxIdleNonIdempotent is how long a connection may have been idle that takes an unrepeatable request.
	maxIdleNonIdempotent = 2 * time.Second
)

// sendTo carries a request to the Front beside the target, or to the own
// backend server.
func (f *Front) sendTo(ctx context.Context, r *request, to route.Target) *response {
	if to.ID == f.Self {
		return f.runWithDeadline(ctx, r)
	}
	now := f.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	// One context with a timer costs half of two nested ones.
	late := time.AfterFunc(r.deadline.Add(peerResponseGrace).Sub(now), func() { cancel(context.DeadlineExceeded) })
	end := func() {
		late.Stop()
		cancel(nil)
	}
	s := &pendingRequest{began: now, cancel: cancel, noRetry: !r.route.Idempotent}
	f.monitor.begin(to.ID, s)
	resp, err := f.PeerPool.Do(ctx, to.Addr, r.hopRequest(now))
	f.monitor.end(to.ID, s, err == nil, f.Now())
	if err != nil {
		defer end()
		return f.hopError(ctx, to.ID, err)
	}
	ans := decodeHopResponse(resp.Status, resp.Header)
	ans.body, ans.stream, ans.length = resp.Body, resp.Stream, resp.Length
	ans.close = func() {
		resp.Close()
		end()
	}
	return ans
}

func (f *Front) hopError(ctx context.Context, id string, err error) *response {
	var dial *httpc.DialError
	unreached := errors.As(err, &dial)
	cause := context.Cause(ctx)
	silent := errors.Is(cause, errUnresponsive)
	if unreached && (ctx.Err() == nil || silent) {
		if f.monitor.markUnreachable(id, f.Now()) {
			f.Table.SetUnreachable(id, true)
			f.Log.WithField("peer", id).WithField("err", err).Warn("peer unreachable")
		}
		return notRunResponse(reasonDial)
	}
	switch {
	case silent:
		return unknownResponse(reasonUnresponsive)
	case unreached:
		return notRunResponse(reasonCanceled)
	case errors.Is(cause, context.DeadlineExceeded):
		return unknownResponse(reasonTimeout)
	case ctx.Err() != nil:
		return unknownResponse(reasonCanceled)
	}
	return unknownResponse(reasonLost)
}

// hopRequest returns the request as it goes to another Front.
func (r *request) hopRequest(now time.Time) *httpc.Request {
	req := &httpc.Request{
		Method:    r.method,
		Target:    r.target,
		Host:      r.host,
		Header:    r.header,
		SetHeader: []httpc.HeaderField{{Name: hopHeader, Value: r.encodeHop(now)}},
		Body:      r.body,
		Stream:    r.stream,
		Length:    r.length,
		MaxBuffer: maxBufferedResponse,
	}
	if !r.route.Idempotent {
		req.MaxIdleTime = maxIdleNonIdempotent
	}
	return req
}

// readBody reads a body up to the buffer, and returns the rest as a stream when
// it is longer.
func readBody(body io.Reader, length int64) ([]byte, io.Reader, error) {
	if length == 0 {
		return nil, nil, nil
	}
	if length > maxBufferedBody {
		return nil, body, nil
	}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBody+1))
	if err != nil {
		return nil, nil, err
	}
	if len(head) > maxBufferedBody {
		return nil, io.MultiReader(strings.NewReader(string(head)), body), nil
	}
	return head, nil, nil
}
