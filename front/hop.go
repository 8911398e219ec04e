package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/action"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/route"
)

// Header fields between Fronts. A request carries the first group, an answer
// the second.
const (
	hopService = hopPrefix + "Service"
	hopRoute   = hopPrefix + "Route"
	hopOrigin  = hopPrefix + "Origin"
	hopKey     = hopPrefix + "Key"
	hopPrint   = hopPrefix + "Print"
	// hopLeft is the time left, in microseconds.
	hopLeft = hopPrefix + "Left"
	// hopWait is how long the request may wait in the queue, in microseconds; 0 stands for until its deadline.
	hopWait   = hopPrefix + "Wait"
	hopRepeat = hopPrefix + "Repeat"
	hopAgain  = hopPrefix + "Again"
	// hopOwn marks a call of a backend server, in which the run that made it is invested.
	hopOwn = hopPrefix + "Own"

	hopOutcome  = hopPrefix + "Outcome"
	hopWhy      = hopPrefix + "Why"
	hopLevel    = hopPrefix + "Level"
	hopLoad     = hopPrefix + "Load"
	hopTimes    = hopPrefix + "Times"
	hopInstance = hopPrefix + "Instance"
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
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(hopGrace))
	ctx, silence := context.WithCancelCause(ctx)
	end := func() {
		silence(nil)
		cancel()
	}
	now := f.Now()
	s := &sent{began: now, cancel: silence, keep: !r.route.Repeatable}
	f.contacts.begin(to.ID, s)
	resp, err := f.Peers.Do(ctx, to.Addr, r.hop(now))
	f.contacts.end(to.ID, s, err == nil, f.Now())
	if err != nil {
		defer end()
		return f.hopFailure(ctx, to.ID, err)
	}
	ans := decodeHop(resp)
	ans.close = func() {
		resp.Close()
		end()
	}
	return ans
}

func (f *Front) hopFailure(ctx context.Context, id string, err error) *answer {
	var dial *httpc.DialError
	unreached := errors.As(err, &dial)
	silent := errors.Is(context.Cause(ctx), errSilent)
	if unreached && (ctx.Err() == nil || silent) {
		if f.contacts.lose(id, f.Now()) {
			f.Table.SetSilent(id, true)
			f.Log.WithField("peer", id).WithField("err", err).Warn("peer unreachable")
		}
		return refusal(whyDial)
	}
	switch {
	case silent:
		return lost(whySilent)
	case unreached:
		return refusal(whyGone)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lost(whyTimeout)
	case ctx.Err() != nil:
		return lost(whyGone)
	}
	return lost(whyLost)
}

// hop returns the request as it goes to another Front.
func (r *request) hop(now time.Time) *httpc.Request {
	h := r.header.Clone()
	h.Set(hopService, r.service)
	h.Set(hopRoute, r.route.Name)
	h.Set(hopOrigin, r.origin)
	h.Set(hopKey, strconv.FormatUint(uint64(r.key), 10))
	h.Set(hopPrint, strconv.FormatUint(uint64(r.print), 16))
	h.Set(hopLeft, strconv.FormatInt(r.deadline.Sub(now).Microseconds(), 10))
	h.Set(hopWait, strconv.FormatInt(r.mayWait(now).Microseconds(), 10))
	req := &httpc.Request{
		Method: r.method,
		Target: r.target,
		Host:   r.host,
		Header: h,
		Body:   r.body,
		Stream: r.stream,
		Length: r.length,
		Buffer: answerBuffer,
	}
	if !r.route.Repeatable {
		req.Fresh = freshUnrepeatable
	} else {
		h.Set(hopRepeat, "1")
	}
	if r.again {
		h.Set(hopAgain, "1")
	}
	if r.own {
		h.Set(hopOwn, "1")
	}
	return req
}

// HopError reports a header field between Fronts that cannot be read.
type HopError struct {
	Field, Value string
}

func (e *HopError) Error() string {
	return fmt.Sprintf("field %s is %q", e.Field, e.Value)
}

// arrival is a request at the ingress.
type arrival struct {
	*request
	routeName  string
	repeatable bool
}

// decodeArrival reads a request of another Front.
func decodeArrival(r *http.Request, headers Headers, now time.Time) (*arrival, error) {
	number := func(field string, base int) (uint64, error) {
		n, err := strconv.ParseUint(r.Header.Get(field), base, 64)
		if err != nil {
			return 0, &HopError{Field: field, Value: r.Header.Get(field)}
		}
		return n, nil
	}
	key, err := number(hopKey, 10)
	if err != nil {
		return nil, err
	}
	fp, err := number(hopPrint, 16)
	if err != nil {
		return nil, err
	}
	left, err := number(hopLeft, 10)
	if err != nil {
		return nil, err
	}
	wait, err := number(hopWait, 10)
	if err != nil {
		return nil, err
	}
	return &arrival{
		routeName:  r.Header.Get(hopRoute),
		repeatable: r.Header.Get(hopRepeat) != "",
		request: &request{
			id:       r.Header.Get(headers.RequestID),
			method:   r.Method,
			target:   targetOf(r),
			host:     r.Host,
			header:   forwardable(r.Header),
			service:  r.Header.Get(hopService),
			origin:   r.Header.Get(hopOrigin),
			key:      action.Key(key),
			again:    r.Header.Get(hopAgain) != "",
			own:      r.Header.Get(hopOwn) != "",
			print:    poison.Print(fp),
			arrived:  now,
			deadline: now.Add(time.Duration(left) * time.Microsecond),
			wait:     time.Duration(wait) * time.Microsecond,
		},
	}, nil
}

// encodeHop writes an answer to another Front.
func (a *answer) encodeHop(w http.ResponseWriter) {
	h := w.Header()
	h["Date"] = nil
	h.Set(hopOutcome, a.outcome.String())
	if a.why != "" {
		h.Set(hopWhy, a.why)
	}
	if list := encodeLevels(a.levels); list != "" {
		h.Set(hopLevel, list)
	}
	h.Set(hopLoad, fmt.Sprintf("%d,%d,%d", a.load.running, a.load.queued, a.load.limit))
	h.Set(hopTimes, fmt.Sprintf("%d,%d", a.waited.Microseconds(), a.ran.Microseconds()))
	h.Set(hopInstance, a.instance)
	if a.outcome != answered {
		defer a.done()
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	a.write(w)
}

// decodeHop reads an answer of another Front.
func decodeHop(resp *httpc.Response) *answer {
	h := resp.Header
	a := &answer{
		outcome:  unknown,
		why:      h.Get(hopWhy),
		status:   resp.Status,
		body:     resp.Body,
		rest:     resp.Rest,
		length:   resp.Length,
		close:    resp.Close,
		levels:   decodeLevels(h.Get(hopLevel)),
		instance: h.Get(hopInstance),
	}
	switch h.Get(hopOutcome) {
	case answered.String():
		a.outcome = answered
	case notRun.String():
		a.outcome = notRun
	case unknown.String():
	default:
		a.why = whyLost
	}
	l := numbers(h.Get(hopLoad), 3)
	a.load = load{running: l[0], queued: l[1], limit: l[2]}
	t := numbers(h.Get(hopTimes), 2)
	a.waited = time.Duration(t[0]) * time.Microsecond
	a.ran = time.Duration(t[1]) * time.Microsecond
	a.header = forwardable(h)
	return a
}

// encodeLevels writes the levels of routes as ROUTE=LEVEL, with commas between.
// Routes that are open are left out.
func encodeLevels(levels map[string]action.Level) string {
	var b strings.Builder
	for name, l := range levels {
		if l >= action.Open {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(name + "=" + strconv.FormatUint(uint64(l), 10))
	}
	return b.String()
}

// decodeLevels reads what encodeLevels wrote; parts that cannot be read are
// left out.
func decodeLevels(list string) map[string]action.Level {
	levels := map[string]action.Level{}
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		n, err := strconv.ParseUint(value, 10, 32)
		if ok && err == nil {
			levels[name] = min(action.Level(n), action.Open)
		}
	}
	return levels
}

// numbers reads n whole numbers that commas separate; missing ones are 0.
func numbers(list string, n int) []int {
	out := make([]int, n)
	for i, part := range strings.SplitN(list, ",", n) {
		v, err := strconv.Atoi(part)
		if err == nil && v >= 0 {
			out[i] = v
		}
	}
	return out
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
