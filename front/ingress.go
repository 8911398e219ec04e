package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/life"
	"sycamorespread.dev/poison"
)

// serverResponseGrace is how much longer than the deadline the backend server's own word is awaited.
const serverResponseGrace = 80 * time.Millisecond

// mismatchTimeout is how long the answer to a repeatable request is awaited after an answer to another request;
// most runs take less, and another instance can still answer in time.
const mismatchTimeout = 500 * time.Millisecond

// loadFields counts the numbers in the field of the load.
const loadFields = 3

// serveInbound takes a request of another Front.
func (f *Front) serveInbound(w http.ResponseWriter, r *http.Request) {
	if f.Closing() {
		notRunResponse(reasonLeaving).writeHop(w)
		return
	}
	defer f.trackInflight()()
	a, err := decodeHopRequest(r, f.Headers, f.Now())
	if err != nil {
		f.Log.WithField("err", err).Warn("request of another daemon cannot be read")
		notRunResponse(reasonLost).writeHop(w)
		return
	}
	a.length = r.ContentLength
	a.body, a.stream, err = readBody(r.Body, r.ContentLength)
	if err != nil {
		notRunResponse(reasonCanceled).writeHop(w)
		return
	}
	f.runWithDeadline(r.Context(), a).writeHop(w)
}

// runWithDeadline runs a request until its deadline and a moment more, in which the
// backend server's own word may come.
func (f *Front) runWithDeadline(ctx context.Context, r *request) *response {
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(serverResponseGrace))
	ans := f.run(ctx, r)
	done := ans.close
	ans.close = func() {
		if done != nil {
			done()
		}
		cancel()
	}
	return ans
}

// run admits a request to the own backend server and runs it there.
func (f *Front) run(ctx context.Context, r *request) *response {
	ans := f.admitAndRun(ctx, r)
	s := f.Gate.Stats()
	ans.load = load{running: s.Inflight, queued: s.Queued, limit: s.Limit}
	ans.levels = f.routeLevels()
	f.logRun(r, ans)
	return ans
}

// routeLevel returns the level of a route here: that of the own queue, or the
// strictest among the calls that its runs make.
func (f *Front) routeLevel(name string, now time.Time) action.Level {
	return min(f.Gate.Level(), f.dependencies.Level(name, f.Table, now))
}

// rejectReason says why the backend server takes no work, empty when it does.
func (f *Front) rejectReason(r *request) string {
	s := f.Server()
	switch {
	case s.State == life.Leaving:
		return reasonLeaving
	case s.State != life.Ready:
		return reasonDown
	case s.Service != r.service:
		return reasonMoved
	case f.Quarantine.State(r.fingerprint) == poison.Quarantined:
		return reasonQuarantined
	}
	return ""
}

func (f *Front) admitAndRun(ctx context.Context, r *request) *response {
	if why := f.rejectReason(r); why != "" {
		return notRunResponse(why)
	}
	asked := f.Now()
	f.dependencies.RecordRun(r.route.Name, asked)
	if !r.nested && !f.routeLevel(r.route.Name, asked).Admits(r.key) {
		// The entry has not heard of the level yet.
		return notRunResponse(reasonShed)
	}
	pass, err := f.Gate.Acquire(ctx, admit.Call{Key: r.key, Nested: r.nested, Method: r.route.Name, Deadline: r.deadline, QueueTimeout: r.queueTimeout(asked)})
	if err != nil {
		return notRunResponse(admitErrReason(err))
	}
	verdict := admit.NoResponse
	defer func() { pass.Release(verdict) }()
	queueTime := f.Now().Sub(asked)
	// The server may have said that it leaves while the request waited.
	if why := f.rejectReason(r); why != "" {
		return notRunResponse(why)
	}
	began := f.Now()
	var ans *response
	ans, verdict = f.callServer(ctx, r)
	ans.queueTime, ans.runTime = queueTime, f.Now().Sub(began)
	return ans
}

func admitErrReason(err error) string {
	var late *admit.DeadlineError
	var shed *admit.ShedError
	switch {
	case errors.As(err, &late):
		return reasonTooLate
	case errors.As(err, &shed):
		return reasonShed
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTooLate
	}
	return reasonCanceled
}

// callServer sends a request to the backend server and judges its answer.
func (f *Front) callServer(ctx context.Context, r *request) (*response, admit.RunResult) {
	s := f.Server()
	f.runs.add(r)
	defer f.runs.remove(r)
	resp, err := f.ServerPool.Do(ctx, f.ServerAddr, f.serverRequest(r, s))
	if err != nil {
		return f.serverError(ctx, r, s, err)
	}
	h := resp.Header
	id := h.Get(f.Headers.RequestID)
	signed := h.Get(f.Headers.Signature) != ""
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		resp.Close()
		f.OnServerDown(s.Instance)
		return notRunResponse(reasonMoved), admit.NoResponse
	case h.Get(f.Headers.NotRun) != "":
		resp.Close()
		if running, slots, ok := parseLoad(h.Get(f.Headers.Load)); ok && running < slots {
			return notRunResponse(reasonRejected), admit.RejectedWithCapacity
		}
		return notRunResponse(reasonRejected), admit.Rejected
	case id != r.id, resp.Status < http.StatusMultipleChoices && !signed:
		resp.Close()
		f.Log.WithFields(f.logFields(r)).WithFields(logrus.Fields{"got": id, "status": resp.Status, "signed": signed}).Warn("answer belongs to no request")
		return unknownResponse(reasonLost), admit.NoResponse
	}
	if resp.Status < http.StatusInternalServerError {
		f.clearSuspect(r.fingerprint)
	}
	return &response{
		outcome:  answered,
		status:   resp.Status,
		header:   stripHopByHop(h),
		body:     resp.Body,
		stream:   resp.Stream,
		length:   resp.Length,
		close:    resp.Close,
		instance: s.Instance,
	}, admit.Completed
}

// parseLoad reads the running requests and the slots from the field that backend
// servers tell their load in: running, waiting, slots.
func parseLoad(value string) (running, slots int, ok bool) {
	parts := strings.Split(value, ",")
	if len(parts) != loadFields {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	slots, slotsErr := strconv.Atoi(strings.TrimSpace(parts[loadFields-1]))
	return running, slots, err == nil && slotsErr == nil && slots > 0
}

// serverRequest returns the request as the backend server gets it.
func (f *Front) serverRequest(r *request, s life.Server) *httpc.Request {
	left := max(1, r.deadline.Sub(f.Now()).Milliseconds())
	req := &httpc.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Header: r.header,
		SetHeader: []httpc.HeaderField{
			{Name: f.Headers.TimeLeft, Value: strconv.FormatInt(left, 10)},
			{Name: f.Headers.Expected, Value: s.Instance},
			{Name: f.Headers.Origin, Value: r.origin},
		},
		Body:      r.body,
		Stream:    r.stream,
		Length:    r.length,
		MaxBuffer: maxBufferedResponse,
	}
	req.IsMismatch = func(h http.Header) bool {
		id := h.Get(f.Headers.RequestID)
		return id != "" && id != r.id
	}
	req.MismatchTimeout = mismatchTimeout
	if !r.route.Idempotent {
		req.MaxIdleTime = maxIdleNonIdempotent
		// Nothing better can be done for it than to wait.
		req.MismatchTimeout = 0
	}
	return req
}

// serverError judges a request without an answer of the backend server.
func (f *Front) serverError(ctx context.Context, r *request, s life.Server, err error) (*response, admit.RunResult) {
	var dial *httpc.DialError
	if errors.As(err, &dial) {
		if ctx.Err() != nil {
			return notRunResponse(reasonCanceled), admit.NoResponse
		}
		f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("backend server unreachable")
		f.OnServerDown(s.Instance)
		f.ServerPool.CloseIdle(f.ServerAddr)
		return notRunResponse(reasonDown), admit.NoResponse
	}
	var stranger *httpc.MismatchError
	switch {
	case errors.As(err, &stranger):
		f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("answer belongs to no request")
		return unknownResponse(reasonLost), admit.NoResponse
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownResponse(reasonTimeout), admit.NoResponse
	case ctx.Err() != nil:
		return unknownResponse(reasonCanceled), admit.NoResponse
	}
	f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("answer of the backend server lost")
	if f.serverCrashed(ctx, s) {
		f.markSuspect(r, f.Self, s.Instance)
		return &response{outcome: unknown, reason: reasonCrash, instance: s.Instance}, admit.NoResponse
	}
	return unknownResponse(reasonLost), admit.NoResponse
}

// markSuspect makes a request a suspect of the crash of a backend server.
func (f *Front) markSuspect(r *request, at, instance string) {
	f.Quarantine.RecordCrash(at+"/"+instance, []poison.Request{{Service: r.service, Method: r.route.Name, Fingerprint: r.fingerprint}})
}

// serverCrashed reports whether the backend server is gone after an answer was
// lost. Each request that it took with it is a suspect of the crash.
func (f *Front) serverCrashed(ctx context.Context, s life.Server) bool {
	if f.Server().Instance != s.Instance {
		return false
	}
	if f.Server().State == life.Ready && !f.ServerPool.ConnRefused(ctx, f.ServerAddr) {
		return false
	}
	if f.Server().State == life.Leaving {
		return false
	}
	f.OnServerDown(s.Instance)
	return true
}

// clearSuspect lifts the suspicion from a request that ran well.
func (f *Front) clearSuspect(p poison.Fingerprint) {
	if f.Quarantine.State(p) == poison.Suspect {
		f.Quarantine.Lift(p)
	}
}
