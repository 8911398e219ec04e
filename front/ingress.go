package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sycamorespread.dev/admit"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/life"
	"sycamorespread.dev/poison"
)

// serverResponseGrace is the time after the deadline in which the backend server's response may still
// arrive.
const serverResponseGrace = 80 * time.Millisecond

// mismatchTimeout limits the wait for the response to an idempotent request after a response to
// another request arrived. Most runs take less, and another instance can still respond in time.
const mismatchTimeout = 500 * time.Millisecond

// loadFields is the number of values in the Load header.
const loadFields = 3

// serveInbound handles a request of another Front.
func (f *Front) serveInbound(w http.ResponseWriter, r *http.Request) {
	defer f.trackInflight()()
	f.learnNotice(r.Header.Get(noticeHeader))
	req, err := decodeHopRequest(r, f.Headers, f.Now())
	if err != nil {
		f.Log.WithField("err", err).Warn("invalid request from another daemon")
		writeNotRun(w, r, req, reasonLost)
		return
	}
	if f.RejectsInbound(req.deadline) {
		writeNotRun(w, r, req, reasonLeaving)
		return
	}
	req.movable = req.route.Idempotent
	req.length = r.ContentLength
	req.body, req.stream, err = readBody(w, r, req.deadline)
	if err != nil || f.peerLeft(r.Context()) {
		writeNotRun(w, r, req, reasonCanceled)
		return
	}
	req.buffered = req.stream == nil
	resp := f.runWithDeadline(r.Context(), req)
	if req.senderRestoresID {
		resp.header.Del(f.Headers.RequestID)
	}
	f.addNotice(w.Header())
	defer req.beginResponse(w, r)()
	if err := resp.writeHop(w); err != nil {
		f.breakOff(r, req, err)
	}
}

// writeNotRun tells another Front that its request did not run.
func writeNotRun(w http.ResponseWriter, hr *http.Request, r *request, reason string) {
	defer r.beginResponse(w, hr)()
	// Without a body, there is nothing to break off.
	_ = notRunResponse(reason).writeHop(w)
}

// runWithDeadline runs a request and cancels it serverResponseGrace after its deadline.
func (f *Front) runWithDeadline(ctx context.Context, r *request) *response {
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(serverResponseGrace))
	resp := f.run(ctx, r)
	closeResp := resp.close
	resp.close = func() {
		if closeResp != nil {
			closeResp()
		}
		cancel()
	}
	return resp
}

// run admits a request and runs it at the local backend server.
func (f *Front) run(ctx context.Context, r *request) *response {
	resp := f.admitAndRun(ctx, r)
	s := f.Gate.Stats()
	resp.load = load{running: s.Inflight, queued: s.Queued, limit: s.Limit}
	resp.levels = f.routeLevels()
	f.logRun(r, resp)
	return resp
}

// admits reports whether this instance admits a request: by the levels of the route's downstream calls
// and by that of the local gate. A level of the gate that follows a rate limit may be too strict for
// any call, and only a response can end the limit, so a call that can run at once is admitted.
func (f *Front) admits(r *request, now time.Time) bool {
	if !f.dependencies.Level(r.route.Name, f.Table, now).Admits(r.key) {
		return false
	}
	return f.Gate.Level().Admits(r.key) || f.Gate.HasRate()
}

// rejectReason returns why the local backend server can't run the request, empty if it can.
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

// admitAndRun waits for a permit of the gate and runs the request at the local backend server.
func (f *Front) admitAndRun(ctx context.Context, r *request) *response {
	f.syncNotice(f.Server())
	if reason := f.rejectReason(r); reason != "" {
		return notRunResponse(reason)
	}
	arrived := f.Now()
	f.dependencies.RecordRun(r.route.Name, arrived)
	if !r.nested && !f.admits(r, arrived) {
		// The sending Front has not received the current level yet.
		return notRunResponse(reasonShed)
	}
	release, ok := f.isolate(ctx, r, r.queueTimeout(arrived))
	if !ok {
		return notRunResponse(reasonShed)
	}
	defer func() { release() }()
	permit, err := f.Gate.Acquire(ctx, admit.Call{Key: r.key, Nested: r.nested, Method: r.route.Name, Deadline: r.deadline, QueueTimeout: r.queueTimeout(arrived)})
	if err != nil {
		return f.admitErrResponse(err)
	}
	result := admit.NoResponse
	defer func() { permit.Release(result) }()
	queueTime := f.Now().Sub(arrived)
	// The backend server may have started to leave while the request was queued.
	if reason := f.rejectReason(r); reason != "" {
		return notRunResponse(reason)
	}
	started := f.Now()
	var resp *response
	resp, result = f.callServer(ctx, r)
	resp.queueTime, resp.runTime = queueTime, f.Now().Sub(started)
	if resp.stream != nil {
		// The backend server is at work until the end of the body.
		closeBody, ended := resp.close, release
		resp.close = func() {
			closeBody()
			ended()
		}
		release = func() {}
	}
	return resp
}

// admitErrResponse maps an error of Gate.Acquire to a response.
func (f *Front) admitErrResponse(err error) *response {
	var deadlineErr *admit.DeadlineError
	var shedErr *admit.ShedError
	switch {
	case errors.As(err, &deadlineErr):
		resp := notRunResponse(reasonTooLate)
		resp.deadlineErr = deadlineErr
		return resp
	case errors.As(err, &shedErr):
		return notRunResponse(reasonShed)
	case errors.Is(err, context.DeadlineExceeded):
		return notRunResponse(reasonTooLate)
	}
	return notRunResponse(f.cancelReason())
}

// callServer sends a request to the backend server and validates the response.
func (f *Front) callServer(ctx context.Context, r *request) (*response, admit.RunResult) {
	s := f.Server()
	if !r.movable {
		f.endBeforeStop(r)
	}
	r.poisonState = max(r.poisonState, f.Quarantine.State(r.fingerprint))
	f.runs.add(r, s.Start)
	sentAt := f.Now()
	resp, err := f.ServerPool.Do(ctx, f.ServerAddr, f.serverRequest(r, s))
	if err != nil {
		defer f.endRun(ctx, r, s, !isDialError(err))
		return f.serverError(ctx, r, s, err)
	}
	h := resp.Header
	id := h.Get(f.Headers.RequestID)
	notRun := h.Get(f.Headers.NotRun) != ""
	if id == r.id {
		f.ObserveServer(Observation{Server: s, Header: h, SentAt: sentAt, Ran: !notRun && resp.Status != http.StatusMisdirectedRequest})
	}
	e := f.evidenceOf(resp)
	// The first response on a connection need not name its request.
	named := id == r.id || id == "" && resp.Carried == 0 && resp.Discarded == 0
	answer, result := f.judge(r, s, resp, named)
	answer.evidence = e
	if answer.stream != nil {
		f.trackBody(ctx, r, s, answer)
	} else {
		f.runs.remove(r)
	}
	return answer, result
}

// judge decides what a response of the backend server says of a request. named is set if the response
// is one to this request.
func (f *Front) judge(r *request, s life.Server, resp *httpc.Response, named bool) (*response, admit.RunResult) {
	h := resp.Header
	id := h.Get(f.Headers.RequestID)
	signed := h.Get(f.Headers.Signature) != ""
	notRun := h.Get(f.Headers.NotRun) != ""
	switch {
	case named && resp.Status == http.StatusMisdirectedRequest:
		resp.Close()
		f.OnServerDown(s.Instance)
		return notRunResponse(reasonMoved), admit.NoResponse
	case named && notRun && resp.Status >= http.StatusBadRequest:
		resp.Close()
		if !r.route.Idempotent {
			f.refusals.add(r.id)
		}
		if running, slots, ok := parseLoad(h.Get(f.Headers.Load)); ok && running < slots {
			return notRunResponse(reasonRejected), admit.RejectedWithCapacity
		}
		return notRunResponse(reasonRejected), admit.Rejected
	case id != r.id, notRun, resp.Status < http.StatusMultipleChoices && !signed:
		resp.Close()
		f.Log.WithFields(f.logFields(r)).WithFields(logrus.Fields{"got": id, "status": resp.Status, "signed": signed}).Warn("response does not match the request")
		return unknownResponse(reasonLost), admit.NoResponse
	}
	if !r.route.Idempotent && meansNotRun(resp.Status) {
		// The caller would take the status for a promise that the server did not make.
		resp.Close()
		f.Log.WithFields(f.logFields(r)).WithField("status", resp.Status).Warn("backend server does not state that the rejected request did not run")
		return unknownResponse(reasonUnproven), admit.Completed
	}
	if resp.Stream == nil {
		f.completed(r, resp.Status)
	}
	h.Del(f.Headers.Load)
	return &response{
		outcome: answered,
		status:  resp.Status,
		header:  stripHopByHop(h),
		body:    resp.Body,
		stream:  resp.Stream,
		length:  resp.Length,
		close:   resp.Close,
	}, admit.Completed
}

// evidenceOf returns what the meaning of a response of the backend server rests on.
func (f *Front) evidenceOf(resp *httpc.Response) *evidence {
	e := &evidence{carried: resp.Carried, discarded: resp.Discarded, mark: resp.Header.Get(f.Headers.NotRun)}
	switch {
	case e.mark != "":
		e.proof = "mark"
	case resp.Status == http.StatusMisdirectedRequest:
		e.proof = "421"
	}
	return e
}

// meansNotRun reports whether callers take a status as a promise that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseLoad parses the Load header of a backend server, "running, queued, slots", and returns the
// running requests and the slots.
func parseLoad(value string) (running, slots int, ok bool) {
	fields := strings.Split(value, ",")
	if len(fields) != loadFields {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	slots, slotsErr := strconv.Atoi(strings.TrimSpace(fields[loadFields-1]))
	return running, slots, err == nil && slotsErr == nil && slots > 0
}

// serverRequest returns the request to send to the backend server.
func (f *Front) serverRequest(r *request, s life.Server) *httpc.Request {
	remaining := max(1, r.deadline.Sub(f.Now()).Milliseconds())
	req := &httpc.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Header: r.header,
		SetHeader: []httpc.HeaderField{
			{Name: f.Headers.TimeLeft, Value: strconv.FormatInt(remaining, 10)},
			{Name: f.Headers.ExpectedInstance, Value: s.Instance},
			{Name: f.Headers.OriginService, Value: r.origin},
		},
		Body:      r.body,
		MaxBuffer: maxBufferedResponse,
	}
	r.setStream(req)
	req.IsMismatch = func(h http.Header, first bool) bool {
		id := h.Get(f.Headers.RequestID)
		// A response that names no request may be one to another request, unless nothing came before it.
		return id != r.id && (id != "" || !first)
	}
	req.Key = xxhash.Sum64String(r.id)
	req.IsRejection = func(h http.Header) bool { return h.Get(f.Headers.NotRun) != "" }
	req.MismatchTimeout = mismatchTimeout
	if !r.route.Idempotent {
		req.MaxIdleTime = maxIdleNonIdempotent
		// The request can't be sent elsewhere, so it waits until its deadline.
		req.MismatchTimeout = 0
		req.Once = true
		req.NewConn = f.refusals.contains(r.id)
	}
	return req
}

// isDialError reports whether a request was not sent for lack of a connection.
func isDialError(err error) bool {
	var dialErr *httpc.DialError
	return errors.As(err, &dialErr)
}

// serverError maps the error of a request to the backend server to a response.
func (f *Front) serverError(ctx context.Context, r *request, s life.Server, err error) (*response, admit.RunResult) {
	if isDialError(err) {
		if ctx.Err() != nil {
			return notRunResponse(f.cancelReason()), admit.NoResponse
		}
		f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("backend server unreachable")
		f.OnServerDown(s.Instance)
		f.ServerPool.CloseIdle(f.ServerAddr)
		return notRunResponse(reasonDown), admit.NoResponse
	}
	var mismatch *httpc.MismatchError
	switch {
	case errors.As(err, &mismatch):
		f.Log.WithFields(f.logFields(r)).WithField("err", err).Warn("response does not match the request")
		return unknownResponse(reasonLost), admit.NoResponse
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownResponse(reasonTimeout), admit.NoResponse
	case ctx.Err() != nil:
		return unknownResponse(f.cancelReason()), admit.NoResponse
	}
	carried := 0
	var noResponse *httpc.NoResponseError
	if errors.As(err, &noResponse) {
		carried = noResponse.Carried
	}
	f.Log.WithFields(f.logFields(r)).WithFields(logrus.Fields{"err": err, "carried": carried}).Warn("answer of the backend server lost")
	if f.serverCrashed(ctx, s) {
		return &response{outcome: unknown, reason: reasonCrash, crash: f.recordCrash(r, s)}, admit.NoResponse
	}
	return unknownResponse(reasonLost), admit.NoResponse
}
