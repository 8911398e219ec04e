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
	// offersMost bounds the instances to which one request is offered.
	offersMost = 8
	// retryLeast is the time that must be left for another send.
	retryLeast = 30 * time.Millisecond
	// afterNoPolicy is the pause that a caller is advised when no policy is known.
	afterNoPolicy = 500 * time.Millisecond
	// afterNoServer is the pause that a caller is advised when no instance can be reached.
	afterNoServer = 300 * time.Millisecond
	// afterLeast is the shortest pause that a caller is advised at an overload.
	afterLeast = 100 * time.Millisecond
	// afterMargin is the part of the time that would be left for a return inside the target that is kept in reserve.
	afterMargin = 0.15
	// afterSpread is the part of a pause over which the returns are spread.
	afterSpread = 0.3
	// waitShare is the part of the time that a caller has left for which it waits at most.
	waitShare = 1.0 / 3
	// tookWeight is the weight of one answer in the mean latency of a route.
	tookWeight = 0.05
)

// final is what the entry tells a caller in its own words.
type final struct {
	status int
	why    string
	// after is the advised pause, 0 for none.
	after time.Duration
}

// entry takes a request of a caller or of the backend server.
func (f *Front) entry(w http.ResponseWriter, hr *http.Request) {
	r, bad := f.accept(w, hr)
	if bad != nil {
		f.refuse(w, r, *bad)
		return
	}
	defer f.begin()()
	if f.Closing() && !r.own {
		f.refuse(w, r, final{status: http.StatusServiceUnavailable, why: whyLeaving, after: afterLeast})
		return
	}
	ans, fin := f.forward(hr.Context(), r)
	if ans == nil {
		f.served(r, false)
		f.refuse(w, r, fin)
		return
	}
	r.log.status = ans.status
	took := f.Now().Sub(r.arrived)
	f.latency.add(r.route.Name, took)
	f.served(r, ans.status < http.StatusInternalServerError && took <= r.route.Target)
	f.logEntry(r, "answered")
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Date"] = nil
	ans.write(w)
}

// served reports how a request of a caller ended; calls of backend servers
// count with the request that caused them.
func (f *Front) served(r *request, inTime bool) {
	if !r.own && f.Served != nil {
		f.Served(r.route, r.service, inTime)
	}
}

// accept reads a request and finds its route.
func (f *Front) accept(w http.ResponseWriter, hr *http.Request) (*request, *final) {
	now := f.Now()
	r := &request{id: hr.Header.Get(f.Headers.RequestID), method: hr.Method, target: targetOf(hr), host: hr.Host, arrived: now}
	p := f.Policy()
	if p == nil || p.Table == nil {
		return r, &final{status: http.StatusServiceUnavailable, why: "nopolicy", after: afterNoPolicy}
	}
	r.revision = p.Revision
	r.route = p.Table.Match(hr.Host, path(r.target))
	if r.route == nil {
		return r, &final{status: http.StatusNotFound, why: "noroute"}
	}
	if r.id == "" {
		return r, &final{status: http.StatusBadRequest, why: "noid"}
	}
	if limit := p.Table.Limits.Body; limit > 0 {
		if hr.ContentLength > limit {
			return r, &final{status: http.StatusRequestEntityTooLarge, why: "body"}
		}
		hr.Body = http.MaxBytesReader(w, hr.Body, limit)
	}
	r.patience = timeLeft(hr.Header.Get(f.Headers.TimeLeft), r.route.Timeout)
	r.deadline = now.Add(min(r.patience, r.route.Timeout))
	return r, f.prepare(r, hr)
}

// prepare reads the body and sets what travels with the request.
func (f *Front) prepare(r *request, hr *http.Request) *final {
	var err error
	r.length = hr.ContentLength
	r.body, r.stream, err = readBody(hr.Body, hr.ContentLength)
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			return &final{status: http.StatusRequestEntityTooLarge, why: "body"}
		}
		return &final{status: http.StatusBadRequest, why: "body"}
	}
	r.service = f.parts.choose(r.route)
	r.origin = f.origin()
	r.key = keyOf(r.route.Rank, r.id)
	f.inherit(r)
	r.header = forwardable(hr.Header)
	r.print = fingerprint(r)
	return nil
}

// forward offers a request to instances until it is answered or nothing is
// left to try.
func (f *Front) forward(ctx context.Context, r *request) (*answer, final) {
	budget := f.Budgets.Get(r.service)
	if r.again {
		budget.RecordRetry()
	} else {
		budget.RecordAttempt()
	}
	var avoid []string
	sends := 0
	last := refusal(whyNoServer)
	for range offersMost {
		if f.Book.State(r.print) == poison.Quarantined {
			return nil, final{status: http.StatusServiceUnavailable, why: whyQuarantine}
		}
		try, err := f.pick(r, avoid)
		if err != nil && last.why == whyLost {
			// The only instance may answer on another connection.
			try, err = f.pick(r, nil)
		}
		if err != nil {
			return nil, f.noTarget(r, err, sends, last)
		}
		r.again = r.again || sends > 0
		last = f.attempt(ctx, r, try)
		if last.outcome == answered {
			return last, final{}
		}
		last.done()
		if last.why == whyCrash {
			// The news of the crash may come later than the retry.
			f.noteCrash(r, try.Target.ID, last.instance)
		}
		if last.outcome == unknown {
			sends++
		}
		if last.why != whyRefused {
			// A server that refuses a part of its requests may take the next one.
			avoid = append(avoid, try.Target.ID)
		}
		if ctx.Err() != nil || !f.mayResend(r, last, budget, sends) {
			break
		}
	}
	return nil, f.giveUp(r, last, sends)
}

// attempt sends a request to one instance and tells the table how it ended.
func (f *Front) attempt(ctx context.Context, r *request, try *route.Attempt) *answer {
	began := f.Now()
	a := lost(whyLost)
	defer func() { f.report(try, a, f.Now().Sub(began)) }()
	a = f.send(ctx, r, try.Target)
	r.log.add(try.Target.ID, a)
	return a
}

func (f *Front) pick(r *request, avoid []string) (*route.Attempt, error) {
	return f.Table.Pick(route.Request{Service: r.service, Method: r.route.Name, Key: r.key, Exclude: avoid, Nested: r.own})
}

// report tells the table how a send ended.
func (f *Front) report(try *route.Attempt, a *answer, took time.Duration) {
	switch a.why {
	case whyDial, whyLost, whyDown, whyMoved, whyLeaving:
		try.Fail(true)
		return
	case whyGone, whyTimeout:
		try.TimedOut(took)
		return
	case whySilent:
		try.Fail(false)
		return
	}
	l := &sycapb.Load{Inflight: uint32(a.load.running), Queued: uint32(a.load.queued), Limit: uint32(a.load.limit)}
	failed := a.why == whyRefused || a.status >= http.StatusInternalServerError
	try.Done(route.Report{Load: l, Levels: a.levels.m, Latency: a.ran, Failed: failed})
}

// mayResend decides on another send after the answer a.
func (f *Front) mayResend(r *request, a *answer, budget *allow.Budget, sends int) bool {
	if r.stream != nil || r.deadline.Sub(f.Now()) < retryLeast {
		return false
	}
	switch a.why {
	case whyDial, whyDown, whyMoved, whyLeaving:
		// The backend server saw nothing of it.
		return sends == 0 || r.route.Repeatable
	case whyShed:
		return sends == 0
	case whyRefused:
		return budget.AllowRetry(r.key)
	case whyLost, whyCrash, whySilent:
		return r.route.Repeatable && sends < r.route.Attempts && budget.AllowRetry(r.key)
	}
	return false
}

// noTarget says what to tell a caller whose request has no instance to go to.
func (f *Front) noTarget(r *request, err error, sends int, last *answer) final {
	if sends > 0 || last.why != whyNoServer {
		return f.giveUp(r, last, sends)
	}
	var shed *route.ShedError
	if errors.As(err, &shed) {
		r.log.level, r.log.levelAge, r.log.leveled = shed.Level, shed.LevelAge, true
		return final{status: http.StatusServiceUnavailable, why: whyShed, after: f.pause(r)}
	}
	if r.own {
		f.deep.RecordUnavailable(route.Call{Service: r.service, Method: r.route.Name}, f.Now())
	}
	return final{status: http.StatusServiceUnavailable, why: whyNoServer, after: afterNoServer}
}

// giveUp says what to tell a caller after the last send.
func (f *Front) giveUp(r *request, last *answer, sends int) final {
	switch {
	case sends > 0 && last.why == whyTimeout:
		return final{status: http.StatusGatewayTimeout, why: last.why}
	case sends > 0:
		return final{status: http.StatusBadGateway, why: last.why}
	}
	return final{status: http.StatusServiceUnavailable, why: last.why, after: f.pause(r)}
}

// pause returns how long a refused caller should stay away. A surge has the
// more time to pass the later the caller returns; it should return just early
// enough for an answer inside the target of the route, and otherwise as late
// as it would wait. Returns are spread so that they are no surge themselves.
func (f *Front) pause(r *request) time.Duration {
	left := r.patience - f.Now().Sub(r.arrived)
	most := time.Duration(waitShare * float64(left))
	after := time.Duration((1 - afterMargin) * float64(r.route.Target-f.latency.of(r.route.Name)-f.Now().Sub(r.arrived)))
	if after < afterLeast || after > most {
		after = most
	}
	after -= time.Duration(afterSpread * rand.Float64() * float64(after))
	return max(after, afterLeast)
}

// refuse answers a caller in the entry's own words.
func (f *Front) refuse(w http.ResponseWriter, r *request, fin final) {
	r.log.status = fin.status
	r.log.after = fin.after
	f.logEntry(r, fin.why)
	h := w.Header()
	h["Date"] = nil
	if r.id != "" {
		h.Set(f.Headers.RequestID, r.id)
	}
	if fin.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(fin.after.Seconds(), 'f', 3, 64))
	}
	if f.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(fin.status)
}
