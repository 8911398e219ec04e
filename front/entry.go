package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/allow"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

const (
	// maxTries is the maximum number of attempts for one request, including those that did not run.
	maxTries = 8
	// maxLateRetries is the number of further instances that are tried after one rejected the request as
	// too late.
	maxLateRetries = 1
	// minRetryTime is the minimum time until the deadline for another attempt.
	minRetryTime = 30 * time.Millisecond
	// retryAfterNoPolicy is the Retry-After duration while no policy is known.
	retryAfterNoPolicy = 500 * time.Millisecond
	// retryAfterNoInstance is the Retry-After duration while no instance of the service is available.
	retryAfterNoInstance = 300 * time.Millisecond
	// minRetryAfter is the minimum Retry-After duration under overload.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterMarginRatio is the share of the time left for a retry within the latency target that is
	// kept in reserve.
	retryAfterMarginRatio = 0.15
	// retryAfterJitterRatio is the share of the Retry-After duration by which jitter shortens it at most.
	retryAfterJitterRatio = 0.3
	// maxRetryAfterRatio is the maximum Retry-After duration as a share of the time that the caller
	// will still wait.
	maxRetryAfterRatio = 1.0 / 3
	// latencyWeight is the weight of one response in the moving average of the latency of a route.
	latencyWeight = 0.05
)

// localReply is a response that the Front generates itself in place of a backend server's.
type localReply struct {
	status int
	reason string
	// retryAfter is the duration for the Retry-After header, 0 for none.
	retryAfter time.Duration
}

// serveOutbound handles a request of a caller or a downstream call of the local backend server.
func (f *Front) serveOutbound(w http.ResponseWriter, hr *http.Request) {
	r, errReply := f.parseRequest(w, hr)
	if errReply != nil {
		f.writeLocalReply(w, hr, r, *errReply)
		return
	}
	defer f.trackCaller(r)()
	if f.isStopped(r) {
		f.writeLocalReply(w, hr, r, localReply{status: http.StatusServiceUnavailable, reason: reasonLeaving, retryAfter: minRetryAfter})
		return
	}
	if f.peerLeft(hr.Context()) {
		f.writeLocalReply(w, hr, r, localReply{status: http.StatusServiceUnavailable, reason: reasonCanceled})
		return
	}
	resp, reply := f.forward(hr.Context(), r)
	if resp == nil {
		f.notifyServed(r, false)
		f.writeLocalReply(w, hr, r, reply)
		return
	}
	r.log.status = resp.status
	elapsed := f.Now().Sub(r.arrived)
	f.routeLatency.observe(r.route.Name, elapsed)
	f.notifyServed(r, resp.status < http.StatusInternalServerError && elapsed <= r.route.TargetLatency)
	f.logRequest(r, "answered")
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Date"] = nil
	// Another instance omits the ID in its response.
	resp.header.Set(f.Headers.RequestID, r.id)
	defer r.beginResponse(w, hr)()
	if err := resp.write(w); err != nil {
		f.breakOff(hr, r, err)
	}
}

// notifyServed calls OnServed for a request of a caller. Downstream calls of backend servers
// count as part of the request that caused them.
func (f *Front) notifyServed(r *request, inTime bool) {
	if !r.nested && f.OnServed != nil {
		f.OnServed(r.route, r.service, inTime)
	}
}

// parseRequest reads a request and matches its route. It returns a reply if the request is
// invalid; the request is set in either case.
func (f *Front) parseRequest(w http.ResponseWriter, hr *http.Request) (*request, *localReply) {
	now := f.Now()
	r := &request{id: hr.Header.Get(f.Headers.RequestID), method: hr.Method, target: requestTarget(hr), host: hr.Host, arrived: now}
	p := f.Policy()
	if p == nil || p.Table == nil {
		return r, &localReply{status: http.StatusServiceUnavailable, reason: "nopolicy", retryAfter: retryAfterNoPolicy}
	}
	r.revision = p.Revision
	r.route = p.Table.Match(hr.Host, targetPath(r.target))
	if r.route == nil {
		return r, &localReply{status: http.StatusNotFound, reason: "noroute"}
	}
	if r.id == "" {
		return r, &localReply{status: http.StatusBadRequest, reason: "noid"}
	}
	if limit := p.Table.Limits.MaxBodyBytes; limit > 0 {
		if hr.ContentLength > limit {
			return r, &localReply{status: http.StatusRequestEntityTooLarge, reason: "body"}
		}
		hr.Body = http.MaxBytesReader(w, hr.Body, limit)
	}
	r.callerTimeout = parseTimeLeft(hr.Header.Get(f.Headers.TimeLeft), r.route.Timeout)
	r.deadline = now.Add(min(r.callerTimeout, r.route.Timeout))
	return r, f.prepare(w, r, hr)
}

// prepare reads the body and sets the fields that are forwarded with the request.
func (f *Front) prepare(w http.ResponseWriter, r *request, hr *http.Request) *localReply {
	var err error
	r.length = hr.ContentLength
	r.body, r.stream, err = readBody(w, hr, r.deadline)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &localReply{status: http.StatusRequestEntityTooLarge, reason: "body"}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &localReply{status: http.StatusRequestTimeout, reason: "body"}
		}
		return &localReply{status: http.StatusBadRequest, reason: "body"}
	}
	r.buffered = r.stream == nil
	r.service = f.splitter.pick(r.route)
	r.origin = f.origin()
	r.key = admissionKey(r.route.Rank, r.id)
	f.inheritParent(r)
	r.header = stripHopByHop(hr.Header)
	// The ingress sets these, whatever the caller sent.
	for _, name := range []string{f.Headers.TimeLeft, f.Headers.OriginService, f.Headers.ExpectedInstance} {
		r.header.Del(name)
	}
	r.fingerprint = fingerprintOf(r)
	return nil
}

// forward sends a request to one instance after another until a backend server responds or no
// further attempt is allowed. It returns a nil response and a reply in the latter case.
func (f *Front) forward(ctx context.Context, r *request) (*response, localReply) {
	budget := f.Budgets.Get(r.service)
	if r.retry {
		budget.RecordRetry()
	} else {
		budget.RecordAttempt()
	}
	var exclude []string
	possibleRuns := 0
	last := notRunResponse(reasonNoInstance)
	for range maxTries {
		r.poisonState = f.Quarantine.State(r.fingerprint)
		if r.poisonState == poison.Quarantined {
			return nil, localReply{status: http.StatusServiceUnavailable, reason: reasonQuarantined}
		}
		attempt, err := f.pick(r, exclude)
		if err != nil && last.reason == reasonLost {
			// The only instance may respond on another connection.
			attempt, err = f.pick(r, nil)
		}
		if err != nil {
			return nil, f.noInstanceReply(r, err, possibleRuns, last)
		}
		r.retry = r.retry || possibleRuns > 0
		last = f.attempt(ctx, r, attempt)
		if last.outcome == answered {
			return last, localReply{}
		}
		last.release()
		if last.reason == reasonCrash && last.crash != "" {
			// The report of the crash may arrive after the retry.
			f.markSuspect(r, attempt.Target.ID, last.crash)
		}
		if last.outcome == unknown {
			possibleRuns++
		}
		if last.reason != reasonRejected {
			// A server that rejects some of its requests may accept the next one.
			exclude = append(exclude, attempt.Target.ID)
		}
		if ctx.Err() != nil || !f.canRetry(r, last, budget, possibleRuns) {
			break
		}
	}
	return nil, f.failureReply(r, last, possibleRuns)
}

// attempt sends a request to one instance and reports the result to the routing table.
func (f *Front) attempt(ctx context.Context, r *request, attempt *route.Attempt) *response {
	started := f.Now()
	a := unknownResponse(reasonLost)
	defer func() { f.reportResult(attempt, a, f.Now().Sub(started)) }()
	f.endBeforeStop(r)
	a = f.sendTo(ctx, r, attempt.Target)
	r.log.addAttempt(attempt.Target.ID, a)
	return a
}

func (f *Front) pick(r *request, exclude []string) (*route.Attempt, error) {
	return f.Table.Pick(route.Request{Service: r.service, Method: r.route.Name, Key: r.key, Exclude: exclude, Nested: r.nested})
}

// reportResult reports the result of an attempt to the routing table.
func (f *Front) reportResult(attempt *route.Attempt, a *response, elapsed time.Duration) {
	switch a.reason {
	case reasonDial, reasonLost, reasonDown, reasonMoved, reasonLeaving:
		attempt.Fail(true)
		return
	case reasonCanceled, reasonStopped, reasonTimeout:
		attempt.TimedOut(elapsed)
		return
	case reasonUnresponsive:
		attempt.Fail(false)
		return
	}
	l := &sycapb.Load{Inflight: uint32(a.load.running), Queued: uint32(a.load.queued), Limit: uint32(a.load.limit)}
	failed := a.reason == reasonRejected || a.reason == reasonTooLate || a.status >= http.StatusInternalServerError
	attempt.Done(route.Report{Load: l, Levels: a.levels.byRoute, Latency: a.runTime, Failed: failed})
}

// canRetry reports whether the request may be sent again after response a. possibleRuns is the
// number of attempts that a backend server may have run.
func (f *Front) canRetry(r *request, a *response, budget *allow.Budget, possibleRuns int) bool {
	if r.stream != nil || r.deadline.Sub(f.Now()) < minRetryTime {
		return false
	}
	switch a.reason {
	case reasonDial, reasonDown, reasonMoved, reasonLeaving:
		// The backend server did not run this attempt.
		return possibleRuns == 0 || r.route.Idempotent
	case reasonShed:
		return possibleRuns == 0
	case reasonTooLate:
		// The estimate of one instance may be wrong. If that of another agrees, the request is hopeless.
		r.lates++
		return possibleRuns == 0 && r.lates <= maxLateRetries
	case reasonRejected:
		return budget.AllowRetry(r.key)
	case reasonLost, reasonCrash, reasonUnresponsive:
		return r.route.Idempotent && possibleRuns < r.route.MaxAttempts && budget.AllowRetry(r.key)
	}
	return false
}

// noInstanceReply returns the reply to a request for which the routing table offers no instance.
func (f *Front) noInstanceReply(r *request, err error, possibleRuns int, last *response) localReply {
	if possibleRuns > 0 || last.reason != reasonNoInstance {
		return f.failureReply(r, last, possibleRuns)
	}
	var shedErr *route.ShedError
	if errors.As(err, &shedErr) {
		r.log.level, r.log.levelAge, r.log.hasLevel = shedErr.Level, shedErr.LevelAge, true
		return localReply{status: http.StatusServiceUnavailable, reason: reasonShed, retryAfter: f.retryAfter(r)}
	}
	if r.nested {
		f.dependencies.RecordUnavailable(route.Call{Service: r.service, Method: r.route.Name}, f.Now())
	}
	return localReply{status: http.StatusServiceUnavailable, reason: reasonNoInstance, retryAfter: retryAfterNoInstance}
}

// failureReply returns the reply to a request after its last attempt failed.
func (f *Front) failureReply(r *request, last *response, possibleRuns int) localReply {
	switch {
	case possibleRuns > 0 && last.reason == reasonTimeout:
		return localReply{status: http.StatusGatewayTimeout, reason: last.reason}
	case possibleRuns > 0:
		return localReply{status: http.StatusBadGateway, reason: last.reason}
	}
	return localReply{status: http.StatusServiceUnavailable, reason: last.reason, retryAfter: f.retryAfter(r)}
}

// retryAfter returns the Retry-After duration for a request that was shed or rejected. A later
// retry leaves more time for the overload to pass. The retry should come just early enough for a
// response within the latency target of the route; if the target can't be met, it should come as
// late as the caller allows. Jitter spreads the retries, so that they don't arrive as another
// burst.
func (f *Front) retryAfter(r *request) time.Duration {
	remaining := r.callerTimeout - f.Now().Sub(r.arrived)
	limit := time.Duration(maxRetryAfterRatio * float64(remaining))
	delay := time.Duration((1 - retryAfterMarginRatio) * float64(r.route.TargetLatency-f.routeLatency.mean(r.route.Name)-f.Now().Sub(r.arrived)))
	if delay < minRetryAfter || delay > limit {
		delay = limit
	}
	delay -= time.Duration(retryAfterJitterRatio * rand.Float64() * float64(delay))
	return max(delay, minRetryAfter)
}

// writeLocalReply sends a reply that the Front generates itself, and logs the request.
func (f *Front) writeLocalReply(w http.ResponseWriter, hr *http.Request, r *request, reply localReply) {
	defer r.beginResponse(w, hr)()
	r.log.status = reply.status
	r.log.retryAfter = reply.retryAfter
	f.logRequest(r, reply.reason)
	h := w.Header()
	h["Date"] = nil
	if r.id != "" {
		h.Set(f.Headers.RequestID, r.id)
	}
	if reply.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(reply.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(reply.status)
}
