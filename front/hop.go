package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/httpc"
	"sycamorespread.dev/route"
)

const (
	// peerResponseGrace is the time after the deadline in which the response of another Front may
	// still arrive.
	peerResponseGrace = 150 * time.Millisecond
	// maxIdleNonIdempotent is the maximum idle time of a connection reused for a non-idempotent request.
	maxIdleNonIdempotent = 2 * time.Second
)

// sendTo sends a request to the Front of the target, or to the local backend server if the target
// is this instance.
func (f *Front) sendTo(ctx context.Context, r *request, target route.Target) *response {
	if target.ID == f.Self {
		return f.runWithDeadline(ctx, r)
	}
	now := f.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	// One context with a timer costs half as much as two nested contexts.
	timer := time.AfterFunc(r.deadline.Add(peerResponseGrace).Sub(now), func() { cancel(context.DeadlineExceeded) })
	stop := func() {
		timer.Stop()
		cancel(nil)
	}
	pending := &pendingRequest{started: now, cancel: cancel, noRetry: !r.route.Idempotent}
	f.monitor.begin(target.ID, pending)
	resp, err := f.PeerPool.Do(ctx, target.Addr, r.hopRequest(now, f.peerNotices.get(target.ID, now)))
	f.monitor.end(target.ID, pending, err == nil, f.Now())
	if err != nil {
		defer stop()
		return f.hopError(ctx, target.ID, err)
	}
	notice := resp.Header.Get(noticeHeader)
	result := decodeHopResponse(resp.Status, resp.Header)
	if err := f.peerNotices.update(target.ID, notice, result.outcome == answered, f.Now()); err != nil {
		f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("invalid notice from another daemon")
	}
	result.body, result.stream, result.length = resp.Body, resp.Stream, resp.Length
	result.close = func() {
		resp.Close()
		stop()
	}
	return result
}

// hopError maps the error of a request to another Front to a response.
func (f *Front) hopError(ctx context.Context, id string, err error) *response {
	var dialErr *httpc.DialError
	dialFailed := errors.As(err, &dialErr)
	cause := context.Cause(ctx)
	unresponsive := errors.Is(cause, errUnresponsive)
	if dialFailed && (ctx.Err() == nil || unresponsive) {
		if f.monitor.markUnreachable(id, f.Now()) {
			f.Table.SetUnreachable(id, true)
			f.Log.WithField("peer", id).WithField("err", err).Warn("peer unreachable")
		}
		return notRunResponse(reasonDial)
	}
	switch {
	case unresponsive:
		return unknownResponse(reasonUnresponsive)
	case dialFailed:
		return notRunResponse(f.cancelReason())
	case errors.Is(cause, context.DeadlineExceeded):
		return unknownResponse(reasonTimeout)
	case ctx.Err() != nil:
		return unknownResponse(f.cancelReason())
	}
	return unknownResponse(reasonLost)
}

// hopRequest returns the request to send to another Front, with the notice of its backend server if
// there is one.
func (r *request) hopRequest(now time.Time, notice string) *httpc.Request {
	req := &httpc.Request{
		Method:    r.method,
		Target:    r.target,
		Host:      r.host,
		Header:    r.header,
		SetHeader: []httpc.HeaderField{{Name: hopHeader, Value: r.encodeHop(now)}},
		Body:      r.body,
		MaxBuffer: maxBufferedResponse,
	}
	r.setStream(req)
	if notice != "" {
		req.SetHeader = append(req.SetHeader, httpc.HeaderField{Name: noticeHeader, Value: notice})
	}
	if !r.route.Idempotent {
		req.MaxIdleTime = maxIdleNonIdempotent
	}
	return req
}
