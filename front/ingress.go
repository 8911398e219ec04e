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

// serverGrace is how much longer than the deadline the backend server's own word is awaited.
const serverGrace = 80 * time.Millisecond

// strangerWait is how long the answer to a repeatable request is awaited after an answer to another request;
// most runs take less, and another instance can still answer in time.
const strangerWait = 500 * time.Millisecond

// loadParts counts the numbers in the field of the load.
const loadParts = 3

// ingress takes a request of another Front.
func (f *Front) ingress(w http.ResponseWriter, r *http.Request) {
	if f.Closing() {
		refusal(whyLeaving).encodeHop(w)
		return
	}
	defer f.begin()()
	a, err := decodeArrival(r, f.Headers, f.Now())
	if err != nil {
		f.Log.WithField("err", err).Warn("request of another daemon cannot be read")
		refusal(whyLost).encodeHop(w)
		return
	}
	a.length = r.ContentLength
	a.body, a.stream, err = readBody(r.Body, r.ContentLength)
	if err != nil {
		refusal(whyGone).encodeHop(w)
		return
	}
	f.runUntil(r.Context(), a).encodeHop(w)
}

// runUntil runs a request until its deadline and a moment more, in which the
// backend server's own word may come.
func (f *Front) runUntil(ctx context.Context, r *request) *answer {
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(serverGrace))
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
func (f *Front) run(ctx context.Context, r *request) *answer {
	ans := f.admitAndRun(ctx, r)
	s := f.Gate.Stats()
	ans.load = load{running: s.Inflight, queued: s.Queued, limit: s.Limit}
	ans.levels = f.routeLevels()
	f.logRun(r, ans)
	return ans
}

// levelOf returns the level of a route here: that of the own queue, or the
// strictest among the calls that its runs make.
func (f *Front) levelOf(name string, now time.Time) action.Level {
	return min(f.Gate.Level(), f.deep.Level(name, f.Table, now))
}

// unwilling says why the backend server takes no work, empty when it does.
func (f *Front) unwilling(r *request) string {
	s := f.Server()
	switch {
	case s.State == life.Leaving:
		return whyLeaving
	case s.State != life.Ready:
		return whyDown
	case s.Service != r.service:
		return whyMoved
	case f.Book.State(r.print) == poison.Quarantined:
		return whyQuarantine
	}
	return ""
}

func (f *Front) admitAndRun(ctx context.Context, r *request) *answer {
	if why := f.unwilling(r); why != "" {
		return refusal(why)
	}
	asked := f.Now()
	f.deep.RecordRun(r.route.Name, asked)
	if !r.own && !f.levelOf(r.route.Name, asked).Admits(r.key) {
		// The entry has not heard of the level yet.
		return refusal(whyShed)
	}
	pass, err := f.Gate.Acquire(ctx, admit.Call{Key: r.key, Nested: r.own, Method: r.route.Name, Deadline: r.deadline, QueueTimeout: r.mayWait(asked)})
	if err != nil {
		return refusal(whyNotAdmitted(err))
	}
	verdict := admit.NoResponse
	defer func() { pass.Release(verdict) }()
	waited := f.Now().Sub(asked)
	// The server may have said that it leaves while the request waited.
	if why := f.unwilling(r); why != "" {
		return refusal(why)
	}
	began := f.Now()
	var ans *answer
	ans, verdict = f.callServer(ctx, r)
	ans.waited, ans.ran = waited, f.Now().Sub(began)
	return ans
}

func whyNotAdmitted(err error) string {
	var late *admit.DeadlineError
	var shed *admit.ShedError
	switch {
	case errors.As(err, &late):
		return whyLate
	case errors.As(err, &shed):
		return whyShed
	case errors.Is(err, context.DeadlineExceeded):
		return whyLate
	}
	return whyGone
}

// callServer sends a request to the backend server and judges its answer.
func (f *Front) callServer(ctx context.Context, r *request) (*answer, admit.RunResult) {
	s := f.Server()
	f.runs.begin(r)
	defer f.runs.end(r)
	resp, err := f.Backend.Do(ctx, f.App, f.serverRequest(r, s))
	if err != nil {
		return f.serverFailure(ctx, r, s, err)
	}
	h := resp.Header
	id := h.Get(f.Headers.RequestID)
	signed := h.Get(f.Headers.Signature) != ""
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		resp.Close()
		f.Lost(s.Instance)
		return refusal(whyMoved), admit.NoResponse
	case h.Get(f.Headers.NotRun) != "":
		resp.Close()
		if running, slots, ok := loadOf(h.Get(f.Headers.Load)); ok && running < slots {
			return refusal(whyRefused), admit.RejectedWithCapacity
		}
		return refusal(whyRefused), admit.Rejected
	case id != r.id, resp.Status < http.StatusMultipleChoices && !signed:
		resp.Close()
		f.Log.WithFields(f.fields(r)).WithFields(logrus.Fields{"got": id, "status": resp.Status, "signed": signed}).Warn("answer belongs to no request")
		return lost(whyLost), admit.NoResponse
	}
	if resp.Status < http.StatusInternalServerError {
		f.cleared(r.print)
	}
	return &answer{
		outcome:  answered,
		status:   resp.Status,
		header:   forwardable(h),
		body:     resp.Body,
		rest:     resp.Rest,
		length:   resp.Length,
		close:    resp.Close,
		instance: s.Instance,
	}, admit.Completed
}

// loadOf reads the running requests and the slots from the field that backend
// servers tell their load in: running, waiting, slots.
func loadOf(value string) (running, slots int, ok bool) {
	parts := strings.Split(value, ",")
	if len(parts) != loadParts {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	slots, slotsErr := strconv.Atoi(strings.TrimSpace(parts[loadParts-1]))
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
		Set: []httpc.Field{
			{Name: f.Headers.TimeLeft, Value: strconv.FormatInt(left, 10)},
			{Name: f.Headers.Expected, Value: s.Instance},
			{Name: f.Headers.Origin, Value: r.origin},
		},
		Body:   r.body,
		Stream: r.stream,
		Length: r.length,
		Buffer: answerBuffer,
	}
	req.Stranger = func(h http.Header) bool {
		id := h.Get(f.Headers.RequestID)
		return id != "" && id != r.id
	}
	req.StrangerWait = strangerWait
	if !r.route.Repeatable {
		req.Fresh = freshUnrepeatable
		// Nothing better can be done for it than to wait.
		req.StrangerWait = 0
	}
	return req
}

// serverFailure judges a request without an answer of the backend server.
func (f *Front) serverFailure(ctx context.Context, r *request, s life.Server, err error) (*answer, admit.RunResult) {
	var dial *httpc.DialError
	if errors.As(err, &dial) {
		if ctx.Err() != nil {
			return refusal(whyGone), admit.NoResponse
		}
		f.Log.WithFields(f.fields(r)).WithField("err", err).Warn("backend server unreachable")
		f.Lost(s.Instance)
		f.Backend.Forget(f.App)
		return refusal(whyDown), admit.NoResponse
	}
	var stranger *httpc.StrangerError
	switch {
	case errors.As(err, &stranger):
		f.Log.WithFields(f.fields(r)).WithField("err", err).Warn("answer belongs to no request")
		return lost(whyLost), admit.NoResponse
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lost(whyTimeout), admit.NoResponse
	case ctx.Err() != nil:
		return lost(whyGone), admit.NoResponse
	}
	f.Log.WithFields(f.fields(r)).WithField("err", err).Warn("answer of the backend server lost")
	if f.crashed(ctx, s) {
		f.noteCrash(r, f.Self, s.Instance)
		return &answer{outcome: unknown, why: whyCrash, instance: s.Instance}, admit.NoResponse
	}
	return lost(whyLost), admit.NoResponse
}

// noteCrash makes a request a suspect of the crash of a backend server.
func (f *Front) noteCrash(r *request, at, instance string) {
	f.Book.RecordCrash(at+"/"+instance, []poison.Request{{Service: r.service, Method: r.route.Name, Fingerprint: r.print}})
}

// crashed reports whether the backend server is gone after an answer was
// lost. Each request that it took with it is a suspect of the crash.
func (f *Front) crashed(ctx context.Context, s life.Server) bool {
	if f.Server().Instance != s.Instance {
		return false
	}
	if f.Server().State == life.Ready && !f.Backend.Refuses(ctx, f.App) {
		return false
	}
	if f.Server().State == life.Leaving {
		return false
	}
	f.Lost(s.Instance)
	return true
}

// cleared lifts the suspicion from a request that ran well.
func (f *Front) cleared(p poison.Fingerprint) {
	if f.Book.State(p) == poison.Suspect {
		f.Book.Lift(p)
	}
}
