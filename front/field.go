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

// hopHeader is the header field that a request and an answer between Fronts
// carry: parts with hopSeparator between them, texts escaped as in a query. One
// field is read faster than one for each part.
const (
	hopHeader    = hopHeaderPrefix + "Hop"
	hopSeparator = "|"
	// requestHopFields and responseHopFields count the parts.
	requestHopFields  = 8
	responseHopFields = 9
)

// Marks of a request.
const (
	// flagIdempotent is set when the request may run more than once, flagRetry when it is sent again.
	flagIdempotent = 1 << iota
	flagRetry
	// flagNested is set for a call of a backend server, in which the run that made it is invested.
	flagNested
)

// HopError reports a header field between Fronts that cannot be read.
type HopError struct {
	Value string
}

func (e *HopError) Error() string {
	return fmt.Sprintf("field %s is %q", hopHeader, e.Value)
}

// hopWriter forms the value of the field.
type hopWriter struct {
	b []byte
}

func (w *hopWriter) text(s string) *hopWriter {
	w.separate()
	w.b = append(w.b, url.QueryEscape(s)...)
	return w
}

func (w *hopWriter) number(n int64) *hopWriter {
	w.separate()
	w.b = strconv.AppendInt(w.b, n, 10)
	return w
}

func (w *hopWriter) separate() {
	if len(w.b) > 0 {
		w.b = append(w.b, hopSeparator...)
	}
}

// hopReader reads the parts in their order and keeps the first fault.
type hopReader struct {
	fields []string
	err    error
}

// newHopReader splits the field of a header into n parts.
func newHopReader(h http.Header, n int) *hopReader {
	value := h.Get(hopHeader)
	r := &hopReader{fields: strings.Split(value, hopSeparator)}
	if len(r.fields) != n {
		r.err = &HopError{Value: value}
		r.fields = make([]string, n)
	}
	return r
}

func (r *hopReader) next() string {
	p := r.fields[0]
	r.fields = r.fields[1:]
	return p
}

func (r *hopReader) text() string {
	p := r.next()
	s, err := url.QueryUnescape(p)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: p}
	}
	return s
}

func (r *hopReader) number() int64 {
	p := r.next()
	n, err := strconv.ParseInt(p, 10, 64)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: p}
	}
	return n
}

func (r *hopReader) micros() time.Duration {
	return time.Duration(r.number()) * time.Microsecond
}

// encodeHop returns the field of a request: service, route, origin, key,
// fingerprint, time left and time that it may wait in microseconds, marks.
func (r *request) encodeHop(now time.Time) string {
	marks := flagIf(r.route.Idempotent, flagIdempotent) | flagIf(r.retry, flagRetry) | flagIf(r.nested, flagNested)
	var w hopWriter
	w.text(r.service).text(r.route.Name).text(r.origin)
	w.number(int64(r.key)).number(int64(r.fingerprint))
	w.number(r.deadline.Sub(now).Microseconds()).number(r.queueTimeout(now).Microseconds()).number(int64(marks))
	return string(w.b)
}

func flagIf(set bool, flag int) int {
	if set {
		return flag
	}
	return 0
}

// decodeHopRequest reads a request of another Front.
func decodeHopRequest(r *http.Request, headers Headers, now time.Time) (*request, error) {
	f := newHopReader(r.Header, requestHopFields)
	req := &request{
		id:          r.Header.Get(headers.RequestID),
		method:      r.Method,
		target:      requestTarget(r),
		host:        r.Host,
		header:      stripHopByHop(r.Header),
		service:     f.text(),
		route:       &policy.Route{Name: f.text()},
		origin:      f.text(),
		key:         action.Key(f.number()),
		fingerprint: poison.Fingerprint(f.number()),
		arrived:     now,
	}
	req.deadline = now.Add(f.micros())
	req.peerQueueTimeout = f.micros()
	marks := f.number()
	req.route.Idempotent = marks&flagIdempotent != 0
	req.retry = marks&flagRetry != 0
	req.nested = marks&flagNested != 0
	return req, f.err
}

// writeHop writes an answer to another Front. Its field has outcome, reason,
// levels, running, waiting and slots, time in the queue and at the backend
// server in microseconds, ID of the backend server.
func (a *response) writeHop(w http.ResponseWriter) {
	var f hopWriter
	f.text(a.outcome.String()).text(a.reason).text(a.levels.text)
	f.number(int64(a.load.running)).number(int64(a.load.queued)).number(int64(a.load.limit))
	f.number(a.queueTime.Microseconds()).number(a.runTime.Microseconds()).text(a.instance)
	h := w.Header()
	h["Date"] = nil
	h[hopHeader] = []string{string(f.b)}
	if a.outcome != answered {
		defer a.release()
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	a.write(w)
}

// decodeHopResponse reads an answer of another Front. One that cannot be read is lost.
func decodeHopResponse(status int, h http.Header) *response {
	f := newHopReader(h, responseHopFields)
	a := &response{outcome: unknown, status: status}
	outcome := f.text()
	a.reason = f.text()
	a.levels.byRoute = decodeLevels(f.text())
	a.load = load{running: int(f.number()), queued: int(f.number()), limit: int(f.number())}
	a.queueTime, a.runTime = f.micros(), f.micros()
	a.instance = f.text()
	a.header = stripHopByHop(h)
	switch {
	case f.err != nil:
		a.reason = reasonLost
	case outcome == answered.String():
		a.outcome = answered
	case outcome == notRun.String():
		a.outcome = notRun
	case outcome != unknown.String():
		a.reason = reasonLost
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
