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

// hopHeader is the header that carries the metadata of a request or response between Fronts:
// fields separated by hopSeparator, with strings escaped as in a query. One header is faster to
// parse than one per field.
const (
	hopHeader    = hopHeaderPrefix + "Hop"
	hopSeparator = "|"
	// requestHopFields and responseHopFields are the numbers of fields in a request and a response.
	requestHopFields  = 8
	responseHopFields = 9
)

// Flags of a request.
const (
	// flagIdempotent is set if the request may run more than once, flagRetry if it is a retry.
	flagIdempotent = 1 << iota
	flagRetry
	// flagNested is set for a downstream call of a backend server. Shedding it would waste the work
	// of the request that made it.
	flagNested
	// flagRestoresID is set if the sender adds the request ID to the response itself. Traffic between
	// zones is expensive, and the ID of a nested call is long.
	flagRestoresID
	// flagSuspect and flagIsolated are the states of the request in the quarantine of the sender, which
	// may be known to it before it is to the receiver.
	flagSuspect
	flagIsolated
)

// HopError reports an invalid header from another Front.
type HopError struct {
	Value string
}

func (e *HopError) Error() string {
	return fmt.Sprintf("header %s has an invalid value: %q", hopHeader, e.Value)
}

// hopWriter encodes the value of hopHeader.
type hopWriter struct {
	b []byte
}

func (w *hopWriter) text(s string) *hopWriter {
	w.separate()
	w.b = append(w.b, url.QueryEscape(s)...)
	return w
}

// escaped adds a field that is already escaped.
func (w *hopWriter) escaped(s string) *hopWriter {
	w.separate()
	w.b = append(w.b, s...)
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

// hopReader decodes the fields of hopHeader in order and keeps the first error.
type hopReader struct {
	fields []string
	err    error
}

// newHopReader splits hopHeader into n fields.
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
	field := r.fields[0]
	r.fields = r.fields[1:]
	return field
}

func (r *hopReader) text() string {
	field := r.next()
	s, err := url.QueryUnescape(field)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: field}
	}
	return s
}

func (r *hopReader) number() int64 {
	field := r.next()
	n, err := strconv.ParseInt(field, 10, 64)
	if err != nil && r.err == nil {
		r.err = &HopError{Value: field}
	}
	return n
}

func (r *hopReader) micros() time.Duration {
	return time.Duration(r.number()) * time.Microsecond
}

// encodeHop returns the hopHeader of a request: service, route, origin, admission key,
// fingerprint, time until the deadline and queue timeout in microseconds, flags.
func (r *request) encodeHop(now time.Time) string {
	flags := flagIf(r.route.Idempotent, flagIdempotent) | flagIf(r.retry, flagRetry) | flagIf(r.nested, flagNested) | flagRestoresID |
		flagIf(r.poisonState == poison.Suspect, flagSuspect) | flagIf(r.poisonState == poison.Isolated, flagIsolated)
	var w hopWriter
	w.text(r.service).text(r.route.Name).text(r.origin)
	w.number(int64(r.key)).number(int64(r.fingerprint))
	w.number(r.deadline.Sub(now).Microseconds()).number(r.queueTimeout(now).Microseconds()).number(int64(flags))
	return string(w.b)
}

func flagIf(set bool, flag int) int {
	if set {
		return flag
	}
	return 0
}

// decodeHopRequest decodes a request of another Front.
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
	flags := f.number()
	req.route.Idempotent = flags&flagIdempotent != 0
	req.retry = flags&flagRetry != 0
	req.nested = flags&flagNested != 0
	switch {
	case flags&flagIsolated != 0:
		req.poisonState = poison.Isolated
	case flags&flagSuspect != 0:
		req.poisonState = poison.Suspect
	}
	req.senderRestoresID = flags&flagRestoresID != 0
	return req, f.err
}

// writeHop writes the response to another Front; its errors are those of write. Its hopHeader has
// outcome, reason, admission levels, running requests, queued requests, concurrency limit, time in the
// queue and at the backend server in microseconds, and the crash if there was one.
func (a *response) writeHop(w http.ResponseWriter) error {
	var f hopWriter
	f.text(a.outcome.String()).text(a.reason).escaped(a.levels.text)
	f.number(int64(a.load.running)).number(int64(a.load.queued)).number(int64(a.load.limit))
	f.number(a.queueTime.Microseconds()).number(a.runTime.Microseconds()).text(a.crash)
	h := w.Header()
	h["Date"] = nil
	h[hopHeader] = []string{string(f.b)}
	if a.outcome != answered {
		defer a.release()
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return nil
	}
	return a.write(w)
}

// decodeHopResponse decodes a response of another Front. An invalid one counts as lost.
func decodeHopResponse(status int, h http.Header) *response {
	f := newHopReader(h, responseHopFields)
	a := &response{outcome: unknown, status: status}
	outcome := f.text()
	a.reason = f.text()
	a.levels.byRoute = decodeLevels(f.text())
	a.load = load{running: int(f.number()), queued: int(f.number()), limit: int(f.number())}
	a.queueTime, a.runTime = f.micros(), f.micros()
	a.crash = f.text()
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

// encodeLevels encodes the levels of routes as a comma-separated list of ROUTE=LEVEL. It omits routes
// that admit all requests. Names are escaped twice, once for the list and once for hopHeader.
func encodeLevels(byRoute map[string]action.Level) string {
	var b []byte
	for name, l := range byRoute {
		if l >= action.AdmitAll {
			continue
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, url.QueryEscape(url.QueryEscape(name))...)
		b = append(b, '=')
		b = strconv.AppendUint(b, uint64(l), 10)
	}
	return string(b)
}

// decodeLevels decodes the output of encodeLevels, unescaped once, and ignores invalid items.
func decodeLevels(list string) map[string]action.Level {
	byRoute := map[string]action.Level{}
	for item := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(item, "=")
		n, numberErr := strconv.ParseUint(value, 10, 32)
		name, nameErr := url.QueryUnescape(name)
		if ok && numberErr == nil && nameErr == nil {
			byRoute[name] = min(action.Level(n), action.AdmitAll)
		}
	}
	return byRoute
}
