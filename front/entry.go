package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/allow"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

const (
	// maxTries bounds the instances to which one request is offered.
	maxTries = 8
	// minRetryTime is the time that must be left for another send.
	minRetryTime = 30 * time.Millisecond
	// retryAfterNoPolicy is the pause that a caller is advised when no policy is known.
	retryAfterNoPolicy = 500 * time.Millisecond
	// retryAfterNoInstance is the pause that a caller is advised when no instance can be reached.
	retryAfterNoInstance = 300 * time.Millisecond
	// minRetryAfter is the shortest pause that a caller is advised at an overload.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterMarginRatio is the part of the time that would be left for a return inside the target that is kept in reserve.
	retryAfterMarginRatio = 0.15
	// retryAfterJitterRatio is the part of a pause over which the returns are spread.
	retryAfterJitterRatio = 0.3
	// maxRetryAfterRatio is the part of the time that a caller has left for which it waits at most.
	maxRetryAfterRatio = 1.0 / 3
	// latencyWeight is the weight of one answer in the mean latency of a route.
	latencyWeight = 0.05
)

// localReply is what the entry tells a caller in its own words.
type localReply struct {
	status int
	reason string
	// retryAfter is the advised pause, 0 for none.
	retryAfter time.Duration
}

// serveOutbound takes a request of a caller or of the backend server.
func (f *Front) serveOutbound(w http.ResponseWriter, hr *http.Request) {
	r, bad := f.parseRequest(w, hr)
	if bad != nil {
		f.writeLocalReply(w, r, *bad)
		return
	}
	defer f.trackInflight()()
	if f.Closing() && !r.nested {
		f.writeLocalReply(w, r, localReply{status: http.StatusServiceUnavailable, reason: reasonLeaving, retryAfter: minRetryAfter})
		return
	}
	ans, fin := f.forward(hr.Context(), r)
	if ans == nil {
		f.notifyServed(r, false)
		f.writeLocalReply(w, r, fin)
		return
	}
	r.log.status = ans.status
	took := f.Now().Sub(r.arrived)
	f.routeLatency.observe(r.route.Name, took)
	f.notifyServed(r, ans.status < http.StatusInternalServerError && took <= r.route.TargetLatency)
	f.logRequest(r, "answered")
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Date"] = nil
	ans.write(w)
}

// notifyServed reports how a request of a caller ended; calls of backend servers
// count with the request that caused them.
func (f *Front) notifyServed(r *request, inTime bool) {
	if !r.nested && f.OnServed != nil {
		f.OnServed(r.route, r.service, inTime)
	}
}

// parseRequest reads a request and finds its route.
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
	return r, f.prepare(r, hr)
}

// prepare reads the body and sets what travels with the request.
func (f *Front) prepare(r *request, hr *http.Request) *localReply {
	var err error
	r.length = hr.ContentLength
	r.body, r.stream, err = readBody(hr.Body, hr.ContentLength)
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			return &localReply{status: http.StatusRequestEntityTooLarge, reason: "body"}
		}
		return &localReply{status: http.StatusBadRequest, reason: "body"}
	}
	r.service = f.splitter.pick(r.route)
	r.origin = f.origin()
	r.key = admissionKey(r.route.Rank, r.id)
	f.inheritParent(r)
	r.header = stripHopByHop(hr.Header)
	r.fingerprint = fingerprintOf(r)
	return nil
}

// forward offers a request to instances until it is answered or nothing is
// left to try.
func (f *Front) forward(ctx context.Context, r *request) (*response, localReply) {
	budget := f.Budgets.Get(r.service)
	if r.retry {
		budget.RecordRetry()
	} else {
		budget.RecordAttempt()
	}
	var avoid []string
	sends := 0
	last := notRunResponse(reasonNoInstance)
	for range maxTries {
		if f.Quarantine.State(r.fingerprint) == poison.Quarantined {
			return nil, localReply{status: http.StatusServiceUnavailable, reason: reasonQuarantined}
		}
		try, err := f.pick(r, avoid)
		if err != nil && last.reason == reasonLost {
			// The only instance may answer on another connection.
			try, err = f.pick(r, nil)
		}
		if err != nil {
			return nil, f.noInstanceReply(r, err, sends, last)
		}
		r.retry = r.retry || sends > 0
		last = f.attempt(ctx, r, try)
		if last.outcome == answered {
			return last, localReply{}
		}
		last.release()
		if last.reason == reasonCrash {
			// The news of the crash may come later than the retry.
			f.markSuspect(r, try.Target.ID, last.instance)
		}
		if last.outcome == unknown {
			sends++
		}
		if last.reason != reasonRejected {
			// A server that refuses a part of its requests may take the next one.
			avoid = append(avoid, try.Target.ID)
		}
		if ctx.Err() != nil || !f.canRetry(r, last, budget, sends) {
			break
		}
	}
	return nil, f.failureReply(r, last, sends)
}

// attempt sends a request to one instance and tells the table how it ended.
func (f *Front) attempt(ctx context.Context, r *request, try *route.Attempt) *response {
	began := f.Now()
	a := unknownResponse(reasonLost)
	defer func() { f.reportResult(try, a, f.Now().Sub(began)) }()
	a = f.sendTo(ctx, r, try.Target)
	r.log.addAttempt(try.Target.ID, a)
	return a
}

func (f *Front) pick(r *request, avoid []string) (*route.Attempt, error) {
	return f.Table.Pick(route.Request{Service: r.service, Method: r.route.Name, Key: r.key, Exclude: avoid, Nested: r.nested})
}

// reportResult tells the table how a send ended.
func (f *Front) reportResult(try *route.Attempt, a *response, took time.Duration) {
	switch a.reason {
	case reasonDial, reasonLost, reasonDown, reasonMoved, reasonLeaving:
		try.Fail(true)
		return
	case reasonCanceled, reasonTimeout:
		try.TimedOut(took)
		return
	case reasonUnresponsive:
		try.Fail(false)
		return
	}
	l := &sycapb.Load{Inflight: uint32(a.load.running), Queued: uint32(a.load.queued), Limit: uint32(a.load.limit)}
	failed := a.reason == reasonRejected || a.status >= http.StatusInternalServerError
	try.Done(route.Report{Load: l, Levels: a.levels.byRoute, Latency: a.runTime, Failed: failed})
}

// canRetry decides on another send after the answer a.
func (f *Front) canRetry(r *request, a *response, budget *allow.Budget, sends int) bool {
	if r.stream != nil || r.deadline.Sub(f.Now()) < minRetryTime {
		return false
	}
	switch a.reason {
	case reasonDial, reasonDown, reasonMoved, reasonLeaving:
		// The backend server saw nothing of it.
		return sends == 0 || r.route.Idempotent
	case reasonShed:
		return sends == 0
	case reasonRejected:
		return budget.AllowRetry(r.key)
	case reasonLost, reasonCrash, reasonUnresponsive:
		return r.route.Idempotent && sends < r.route.MaxAttempts && budget.AllowRetry(r.key)
	}
	return false
}

// noInstanceReply says what to tell a caller whose request has no instance to go to.
func (f *Front) noInstanceReply(r *request, err error, sends int, last *response) localReply {
	if sends > 0 || last.reason != reasonNoInstance {
		return f.failureReply(r, last, sends)
	}
	var shed *route.ShedError
	if errors.As(err, &shed) {
		r.log.level, r.log.levelAge, r.log.hasLevel = shed.Level, shed.LevelAge, true
		return localReply{status: http.StatusServiceUnavailable, reason: reasonShed, retryAfter: f.retryAfter(r)}
	}
	if r.nested {
		f.dependencies.RecordUnavailable(route.Call{Service: r.service, Method: r.route.Name}, f.Now())
	}
	return localReply{status: http.StatusServiceUnavailable, reason: reasonNoInstance, retryAfter: retryAfterNoInstance}
}

// failureReply says what to tell a caller after the last send.
func (f *Front) failureReply(r *request, last *response, sends int) localReply {
	switch {
	case sends > 0 && last.reason == reasonTimeout:
		return localReply{status: http.StatusGatewayTimeout, reason: last.reason}
	case sends > 0:
		return localReply{status: http.StatusBadGateway, reason: last.reason}
	}
	return localReply{status: http.StatusServiceUnavailable, reason: last.reason, retryAfter: f.retryAfter(r)}
}

// retryAfter returns how long a refused caller should stay away. A surge has the
// more time to pass the later the caller returns; it should return just early
// enough for an answer inside the target of the route, and otherwise as late
// as it would wait. Returns are spread so that they are no surge themselves.
func (f *Front) retryAfter(r *request) time.Duration {
	left := r.callerTimeout - f.Now().Sub(r.arrived)
	most := time.Duration(maxRetryAfterRatio * float64(left))
	after := time.Duration((1 - retryAfterMarginRatio) * float64(r.route.TargetLatency-f.routeLatency.mean(r.route.Name)-f.Now().Sub(r.arrived)))
	if after < minRetryAfter || after > most {
		after = most
	}
	after -= time.Duration(retryAfterJitterRatio * rand.Float64() * float64(after))
	return max(after, minRetryAfter)
}

// writeLocalReply answers a caller in the entry's own words.
func (f *Front) writeLocalReply(w http.ResponseWriter, r *request, fin localReply) {
	r.log.status = fin.status
	r.log.retryAfter = fin.retryAfter
	f.logRequest(r, fin.reason)
	h := w.Header()
	h["Date"] = nil
	if r.id != "" {
		h.Set(f.Headers.RequestID, r.id)
	}
	if fin.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(fin.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(fin.status)
}
