package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sycamorespread.dev/life"
)

// noticeHeader is the header in which Fronts tell each other the notice of the backend server of the
// receiver or the sender: instance, start time, limit, leaving. It is separate from hopHeader so that
// daemons of earlier versions ignore it.
const (
	noticeHeader = hopHeaderPrefix + "Notice"
	noticeFields = 4
)

// peerNoticeTTL is how long a notice is told to the daemon of its server. Servers that leave go on
// serving for some seconds, at times many, before they exit.
const peerNoticeTTL = time.Minute

// A limit has ended after minUnlimited successive responses of runs without it, or with the first one
// that arrives minUnlimitedTime after the last response with it. Responses that the server sends around
// a change may arrive in another order.
const (
	minUnlimited     = 3
	minUnlimitedTime = time.Second
)

// notice is what a backend server states about itself in its responses.
type notice struct {
	// instance is the ID of the server, startedAt its start time, zero if that is not known.
	instance  string
	startedAt time.Time
	// limit is the number of requests per second that the server takes. It is valid if limited is set.
	limited bool
	limit   float64
	// leaving is set once the server announced its shutdown.
	leaving bool
}

// isOf reports whether the notice is of a start of a server. A start time that is not known matches
// any.
func (n notice) isOf(s life.Server) bool {
	sameStart := n.startedAt.IsZero() || s.StartedAt.IsZero() || n.startedAt.Equal(s.StartedAt)
	return n.instance == s.Instance && sameStart
}

func (n notice) encode() string {
	limit := ""
	if n.limited {
		limit = strconv.FormatFloat(n.limit, 'g', -1, 64)
	}
	startedMs := int64(0)
	if !n.startedAt.IsZero() {
		startedMs = n.startedAt.UnixMilli()
	}
	var w hopWriter
	w.text(n.instance).number(startedMs).text(limit).number(int64(flagIf(n.leaving, 1)))
	return string(w.b)
}

// decodeNotice decodes the value of the notice header. It returns false if there
// is none.
func decodeNotice(value string) (notice, bool, error) {
	if value == "" {
		return notice{}, false, nil
	}
	r := &hopReader{fields: strings.Split(value, hopSeparator)}
	if len(r.fields) != noticeFields {
		return notice{}, false, &HopError{Value: value}
	}
	n := notice{instance: r.text()}
	if startedMs := r.number(); startedMs > 0 {
		n.startedAt = time.UnixMilli(startedMs)
	}
	limit := r.text()
	n.leaving = r.number() == 1
	if limit != "" {
		var err error
		n.limited = true
		if n.limit, err = parseLimit(limit); err != nil {
			return notice{}, false, err
		}
	}
	return n, r.err == nil, r.err
}

// LimitError reports a limit that is not a number of requests per second.
type LimitError struct {
	Value string
}

func (e *LimitError) Error() string {
	return "limit has an invalid value: " + strconv.Quote(e.Value)
}

// parseLimit parses the Limit header, a number of requests per second of at least 0.
func parseLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		return 0, &LimitError{Value: value}
	}
	return limit, nil
}

// ownNotice is the notice of the local backend server.
type ownNotice struct {
	mu sync.Mutex
	notice
	// namedAt is when the last response with a limit arrived; unlimited counts the responses of runs
	// without one to requests sent since.
	namedAt   time.Time
	unlimited int
	// observed is set once a response of this start of the server showed its limit or that it has none.
	observed bool
	// invalid is the last invalid limit, which is logged once.
	invalid string
}

// reset starts a new notice if the server restarted or was replaced. The caller must hold o.mu.
func (o *ownNotice) reset(s life.Server) {
	if o.isOf(s) {
		if o.startedAt.IsZero() {
			o.startedAt = s.StartedAt
		}
		return
	}
	o.notice = notice{instance: s.Instance, startedAt: s.StartedAt}
	o.namedAt, o.unlimited, o.observed, o.invalid = time.Time{}, 0, false, ""
}

// setLimit changes the limit and reports whether it changed. The caller must hold o.mu.
func (o *ownNotice) setLimit(limited bool, limit float64) bool {
	changed := o.limited != limited || o.limit != limit
	o.limited, o.limit = limited, limit
	return changed
}

// Observation is a response of the local backend server.
type Observation struct {
	// Server is the start of the server that responded.
	Server life.Server
	Header http.Header
	SentAt time.Time
	// Ran is set if the server ran the request. Responses to health checks and refusals may omit a
	// limit that is in force.
	Ran bool
}

// observeLimit updates the limit with the value in a response, and reports whether the limit changed.
// The caller must hold o.mu.
func (o *ownNotice) observeLimit(value string, ob Observation, now time.Time) (bool, error) {
	o.observed = o.observed || ob.Ran || value != ""
	if value != "" {
		limit, err := parseLimit(value)
		if err != nil {
			return false, err
		}
		o.namedAt, o.unlimited = now, 0
		return o.setLimit(true, limit), nil
	}
	if !o.limited || !ob.Ran || ob.SentAt.Before(o.namedAt) {
		return false, nil
	}
	o.unlimited++
	if o.unlimited < minUnlimited && now.Sub(o.namedAt) < minUnlimitedTime {
		return false, nil
	}
	return o.setLimit(false, 0), nil
}

// ObserveServer updates the state of the backend server with the header of one of its responses.
func (f *Front) ObserveServer(ob Observation) {
	s, h := ob.Server, ob.Header
	o := &f.notice
	o.mu.Lock()
	if !(notice{instance: s.Instance, startedAt: s.StartedAt}).isOf(f.Server()) {
		// The server was replaced meanwhile.
		o.mu.Unlock()
		return
	}
	o.reset(s)
	value := h.Get(f.Headers.Limit)
	changed, err := o.observeLimit(value, ob, f.Now())
	if changed {
		f.applyLimit(o.notice, "response")
	}
	reportInvalid := err != nil && o.invalid != value
	if reportInvalid {
		o.invalid = value
	}
	leaving := h.Get(f.Headers.Leaving) != "" && !o.leaving
	o.leaving = o.leaving || leaving
	o.mu.Unlock()
	if reportInvalid {
		// The limit that was in force before stays, since the server did not end it.
		f.Log.WithFields(logrus.Fields{"instance": s.Instance, "err": err}).Warn("backend server names an invalid limit; ignoring it")
	}
	if leaving {
		f.OnServerLeaving(s.Instance, s.StartedAt)
	}
}

// applyLimit puts the limit of a notice in force, or ends it.
func (f *Front) applyLimit(n notice, source string) {
	if n.limited {
		f.Gate.SetRateLimit(n.limit)
	} else {
		f.Gate.EndRateLimit()
	}
	f.Log.WithFields(logrus.Fields{"instance": n.instance, "limited": n.limited, "per_second": n.limit, "from": source}).Info("rate limit of backend server")
}

// syncNotice resets the notice, and ends its limit, if the backend server restarted.
func (f *Front) syncNotice(s life.Server) {
	o := &f.notice
	o.mu.Lock()
	defer o.mu.Unlock()
	limited := o.limited
	o.reset(s)
	if limited && !o.limited {
		f.applyLimit(o.notice, "restart")
	}
}

// learnNotice applies what another Front knows of the local backend server. This process may have
// restarted since the server stated it. Once it has a response of its own, that is newer.
func (f *Front) learnNotice(value string) {
	n, ok, err := decodeNotice(value)
	if err != nil {
		f.Log.WithField("err", err).Warn("invalid notice from another daemon")
	}
	s := f.Server()
	if !ok || s.Instance == "" || !n.isOf(s) {
		return
	}
	f.syncNotice(s)
	o := &f.notice
	o.mu.Lock()
	if !o.observed && n.limited && !o.limited {
		o.setLimit(true, n.limit)
		f.applyLimit(o.notice, "peer")
	}
	// Without a start time the notice may be of an earlier start.
	leaving := n.leaving && !o.leaving && (!n.startedAt.IsZero() || s.StartedAt.IsZero())
	o.leaving = o.leaving || leaving
	o.mu.Unlock()
	if leaving {
		f.OnServerLeaving(s.Instance, n.startedAt)
	}
}

// addNotice adds the notice of the local backend server, if it has one, to the header of a response
// to another Front.
func (f *Front) addNotice(h http.Header) {
	o := &f.notice
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limited || o.leaving {
		h.Set(noticeHeader, o.encode())
	}
}

// peerNotices holds the notices of the backend servers of other instances, by the ID of the instance.
// They outlast a restart of the other daemon.
type peerNotices struct {
	mu sync.Mutex
	m  map[string]peerNotice
}

// peerNotice is a notice and when it was last received.
type peerNotice struct {
	notice
	receivedAt time.Time
}

func newPeerNotices() *peerNotices {
	return &peerNotices{m: map[string]peerNotice{}}
}

// get returns the encoded notice of the backend server of an instance, empty if there is none.
func (p *peerNotices) get(id string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.m[id]
	if !ok || now.Sub(n.receivedAt) > peerNoticeTTL {
		delete(p.m, id)
		return ""
	}
	return n.encode()
}

// update records the notice in a response of an instance. A response without one ends a limit if the
// backend server sent it. It does not end leaving: the daemon may have restarted.
func (p *peerNotices) update(id, value string, answered bool, now time.Time) error {
	n, ok, err := decodeNotice(value)
	if err != nil {
		return errors.Wrapf(err, "notice of %s", id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.m[id]
	switch {
	case ok:
		n.leaving = n.leaving || known && old.leaving && old.instance == n.instance && old.startedAt.Equal(n.startedAt)
		p.m[id] = peerNotice{notice: n, receivedAt: now}
	case !known || !answered:
	case old.leaving:
		old.limited = false
		p.m[id] = old
	default:
		delete(p.m, id)
	}
	return nil
}
