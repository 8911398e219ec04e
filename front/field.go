package front

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
)

// hopField is the header field that a request and an answer between Fronts
// carry: parts with hopMark between them, texts escaped as in a query. One
// field is read faster than one for each part.
const (
	hopField = hopPrefix + "Hop"
	hopMark  = "|"
	// requestParts and answerParts count the parts.
	requestParts = 8
	answerParts  = 9
)

// Marks of a request.
const (
	// markRepeatable is set when the request may run more than once, markAgain when it is sent again.
	markRepeatable = 1 << iota
	markAgain
	// markOwn is set for a call of a backend server, in which the run that made it is invested.
	markOwn
)

// HopError reports a header field between Fronts that cannot be read.
type HopError struct {
	Value string
}

func (e *HopError) Error() string {
	return fmt.Sprintf("field %s is %q", hopField, e.Value)
}

// fieldWriter forms the value of the field.
type fieldWriter struct {
	b []byte
}

func (w *fieldWriter) text(s string) *fieldWriter {
	w.next()
	w.b = append(w.b, url.QueryEscape(s)...)
	return w
}

func (w *fieldWriter) number(n int64) *fieldWriter {
	w.next()
	w.b = strconv.AppendInt(w.b, n, 10)
	return w
}

func (w *fieldWriter) next() {
	if len(w.b) > 0 {
		w.b = append(w.b, hopMark...)
	}
}

// fieldReader reads the parts in their order and keeps the first fault.
type fieldReader struct {
	parts []string
	err   error
}

// readField splits the field of a header into n parts.
func readField(h http.Header, n int) *fieldReader {
	value := h.Get(hopField)
	r := &fieldReader{parts: strings.Split(value, hopMark)}
	if len(r.parts) != n {
		r.err = &HopError{Value: value}
		r.parts = make([]string, n)
	}
	return r
}

func (r *fieldReader) take() string {
	p := r.parts[0]
	r.parts = r.parts[1:]
	return p
}

func (r *fieldReader) text() string {
	p := r.take()
	s, err := url.QueryUnescape(p)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: p}
	}
	return s
}

func (r *fieldReader) number() int64 {
	p := r.take()
	n, err := strconv.ParseInt(p, 10, 64)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: p}
	}
	return n
}

func (r *fieldReader) micros() time.Duration {
	return time.Duration(r.number()) * time.Microsecond
}

// encode returns the field of a request: service, route, origin, key,
// fingerprint, time left and time that it may wait in microseconds, marks.
func (r *request) encode(now time.Time) string {
	marks := flag(r.route.Repeatable, markRepeatable) | flag(r.again, markAgain) | flag(r.own, markOwn)
	var w fieldWriter
	w.text(r.service).text(r.route.Name).text(r.origin)
	w.number(int64(r.key)).number(int64(r.print))
	w.number(r.deadline.Sub(now).Microseconds()).number(r.mayWait(now).Microseconds()).number(int64(marks))
	return string(w.b)
}

func flag(set bool, mark int) int {
	if set {
		return mark
	}
	return 0
}

// decodeArrival reads a request of another Front.
func decodeArrival(r *http.Request, headers Headers, now time.Time) (*request, error) {
	f := readField(r.Header, requestParts)
	req := &request{
		id:      r.Header.Get(headers.RequestID),
		method:  r.Method,
		target:  targetOf(r),
		host:    r.Host,
		header:  forwardable(r.Header),
		service: f.text(),
		route:   &policy.Route{Name: f.text()},
		origin:  f.text(),
		key:     action.Key(f.number()),
		print:   poison.Fingerprint(f.number()),
		arrived: now,
	}
	req.deadline = now.Add(f.micros())
	req.wait = f.micros()
	marks := f.number()
	req.route.Repeatable = marks&markRepeatable != 0
	req.again = marks&markAgain != 0
	req.own = marks&markOwn != 0
	return req, f.err
}

// encodeHop writes an answer to another Front. Its field has outcome, reason,
// levels, running, waiting and slots, time in the queue and at the backend
// server in microseconds, ID of the backend server.
func (a *answer) encodeHop(w http.ResponseWriter) {
	var f fieldWriter
	f.text(a.outcome.String()).text(a.why).text(a.levels.text)
	f.number(int64(a.load.running)).number(int64(a.load.queued)).number(int64(a.load.limit))
	f.number(a.waited.Microseconds()).number(a.ran.Microseconds()).text(a.instance)
	h := w.Header()
	h["Date"] = nil
	h[hopField] = []string{string(f.b)}
	if a.outcome != answered {
		defer a.done()
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	a.write(w)
}

// decodeHop reads an answer of another Front. One that cannot be read is lost.
func decodeHop(status int, h http.Header) *answer {
	f := readField(h, answerParts)
	a := &answer{outcome: unknown, status: status}
	outcome := f.text()
	a.why = f.text()
	a.levels.m = decodeLevels(f.text())
	a.load = load{running: int(f.number()), queued: int(f.number()), limit: int(f.number())}
	a.waited, a.ran = f.micros(), f.micros()
	a.instance = f.text()
	a.header = forwardable(h)
	switch {
	case f.err != nil:
		a.why = whyLost
	case outcome == answered.String():
		a.outcome = answered
	case outcome == notRun.String():
		a.outcome = notRun
	case outcome != unknown.String():
		a.why = whyLost
	}
	return a
}

// encodeLevels writes the levels of routes as ROUTE=LEVEL, with commas between,
// names escaped. Routes that are open are left out.
func encodeLevels(levels map[string]action.Level) string {
	var b []byte
	for name, l := range levels {
		if l >= action.AdmitAll {
			continue
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, url.QueryEscape(name)...)
		b = append(b, '=')
		b = strconv.AppendUint(b, uint64(l), 10)
	}
	return string(b)
}

// decodeLevels reads what encodeLevels wrote; parts that cannot be read are
// left out.
func decodeLevels(list string) map[string]action.Level {
	levels := map[string]action.Level{}
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		n, numberErr := strconv.ParseUint(value, 10, 32)
		name, nameErr := url.QueryUnescape(name)
		if ok && numberErr == nil && nameErr == nil {
			levels[name] = min(action.Level(n), action.AdmitAll)
		}
	}
	return levels
}
