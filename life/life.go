// Package life tracks the lifecycle state of the backend server beside a daemon.
//
// A backend server reports that it is ready or leaving; a crash is not reported.
// Reports may be late and out of order: they are ordered by the start time of the
// server, then by sequence number. A server that reported that it is leaving
// never becomes ready again, only a later start of it does. The clock of a machine may
// be set back between two starts, so a server that goes on reporting while the one that
// is known is silent counts as the later one, whatever its start time.
//
//	t := life.New(addr, time.Now, func(s life.Server) { announce(s) })
//	t.HandleReport(report)
//	if s := t.Server(); s.State == life.Ready {
//		// send requests to the server
//	}
package life

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// lateReportTimeout is how long reports of a leaving server may still arrive. Servers keep serving
// for some seconds, at times many, before they exit.
const lateReportTimeout = 30 * time.Second

// MaxSlots is the maximum number of slots of a backend server.
const MaxSlots = 100_000

// A start with an earlier start time than the known one replaces it after minEarlierReports reports in
// minEarlierTime, a few heartbeats, without a report of the known one. Late reports end within seconds.
const (
	minEarlierReports = 3
	minEarlierTime    = 3 * time.Second
)

// State is the lifecycle state of a backend server.
type State int

const (
	// Unknown is a server that this process has no information on.
	Unknown State = iota
	// Ready is a server that accepts work.
	Ready
	// Down is a server that refuses connections, or whose address is in use by another server.
	Down
	// Leaving is a server that announced its shutdown.
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "down", "leaving"}[s]
}

// Report is a status report of a backend server.
type Report struct {
	// Instance is the ID of the server, StartedAt its start time.
	Instance  string
	StartedAt time.Time
	// Sequence increases with each report of one start.
	Sequence int64
	Addr     netip.AddrPort
	Service  string
	// Software is the version of the server's software.
	Software string
	Zone     string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// ColdRemaining is the time until the server is at full speed after its start.
	ColdRemaining time.Duration
}

// ReportError reports a status report that is of no server beside this daemon.
type ReportError struct {
	// Field is the field of the report, Value its value.
	Field, Value string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("report of an unknown server: %s %q", e.Field, e.Value)
}

// Server is the tracked state of the backend server.
type Server struct {
	Report
	State State
	// ColdUntil is when the server is expected to be at full speed.
	ColdUntil time.Time
	// Since is the time of the last change of the state.
	Since time.Time
	// Start counts the starts of servers that the Tracker has seen. A server that comes back under its ID
	// has another one.
	Start uint64
}

// Tracker tracks the state of one backend server. It is safe for concurrent use.
type Tracker struct {
	addr     netip.AddrPort
	now      func() time.Time
	onChange func(Server)

	mu      sync.Mutex
	server  Server
	earlier earlierStart
}

// earlierStart is a start with an earlier start time than the known one, and its reports since the last
// one of the latter.
type earlierStart struct {
	last    Report
	reports int
	since   time.Time
}

// New returns a Tracker for the server at addr. It calls onChange, without holding any lock, after
// each change of the server or its state.
func New(addr netip.AddrPort, now func() time.Time, onChange func(Server)) *Tracker {
	return &Tracker{addr: addr, now: now, onChange: onChange}
}

// Server returns the current state.
func (t *Tracker) Server() Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server
}

// HandleReport applies a report and reports whether it comes from the tracked address. A report
// that is older than the current state changes nothing.
func (t *Tracker) HandleReport(r Report) bool {
	if r.Addr != t.addr {
		return false
	}
	t.update(func(s *Server) bool {
		replaces := r.StartedAt.Before(s.StartedAt) && t.replacesKnown(s, r)
		if r.StartedAt.Before(s.StartedAt) && !replaces || r.StartedAt.Equal(s.StartedAt) && r.Sequence <= s.Sequence {
			return false
		}
		t.earlier = earlierStart{}
		restarted := replaces || r.StartedAt.After(s.StartedAt) && !t.isLateReport(s, r)
		oldState := s.State
		if replaces || restarted && t.isNewStart(s, r) {
			s.Start++
		}
		s.Report = r
		s.ColdUntil = t.now().Add(r.ColdRemaining)
		switch {
		case r.Draining || oldState == Leaving && !restarted:
			s.State = Leaving
		default:
			s.State = Ready
		}
		return restarted || s.State != oldState
	})
	return true
}

// replacesKnown reports whether r, which has an earlier start time than the known start, shows that its
// server started after that one, when the clock had been set back.
func (t *Tracker) replacesKnown(s *Server, r Report) bool {
	e, now := &t.earlier, t.now()
	if e.last.Instance != r.Instance || !e.last.StartedAt.Equal(r.StartedAt) {
		if r.StartedAt.Before(e.last.StartedAt) {
			return false
		}
		*e = earlierStart{since: now}
	} else if r.Sequence <= e.last.Sequence {
		return false
	}
	e.last = r
	e.reports++
	if s.State == Leaving && s.Instance == r.Instance && now.Sub(s.Since) < lateReportTimeout {
		// Its ID does not tell it from the leaving server, which may still serve.
		return false
	}
	return e.reports >= minEarlierReports && now.Sub(e.since) >= minEarlierTime
}

// isNewStart reports whether r, which has a later start time than the known one, is of another start.
// A probe does not tell the start time, so the first report after one mostly tells that of the same
// start.
func (t *Tracker) isNewStart(s *Server, r Report) bool {
	return !s.StartedAt.IsZero() || s.Instance != r.Instance || r.StartedAt.After(s.Since)
}

// isLateReport reports whether r was sent before the shutdown of a leaving server whose start time
// is unknown. A later start has a later wall-clock time than the shutdown, unless the clock was set
// back; after lateReportTimeout the leaving server is gone, and any report is of a later start.
func (t *Tracker) isLateReport(s *Server, r Report) bool {
	if s.State != Leaving || !s.StartedAt.IsZero() || s.Instance != r.Instance {
		return false
	}
	return !r.StartedAt.After(s.Since) && t.now().Sub(s.Since) < lateReportTimeout
}

// HandleProbe applies the response to a health probe. It has an effect only while the state is
// unknown.
func (t *Tracker) HandleProbe(id, service string, slots int) {
	t.update(func(s *Server) bool {
		if s.State != Unknown {
			return false
		}
		s.Report = Report{Instance: id, Addr: t.addr, Service: service, Slots: slots}
		s.State = Ready
		s.Start++
		return true
	})
}

// MarkLeaving records that a server announced its shutdown. A zero startedAt means that its start
// time is unknown. The announcement also counts while the server is unknown, as after a restart of
// this process; one of an earlier start is ignored.
func (t *Tracker) MarkLeaving(id string, startedAt time.Time) {
	t.update(func(s *Server) bool {
		if s.State == Leaving || s.State != Unknown && s.Instance != id || !startedAt.IsZero() && startedAt.Before(s.StartedAt) {
			return false
		}
		s.Instance = id
		if startedAt.After(s.StartedAt) {
			s.StartedAt, s.Sequence = startedAt, 0
		}
		s.State = Leaving
		return true
	})
}

// MarkDown records that the server with the given ID refuses connections, or that another server
// has its address. The next report of the server makes it ready again.
func (t *Tracker) MarkDown(id string) {
	t.update(func(s *Server) bool {
		if s.Instance != id || s.State != Ready {
			return false
		}
		s.State = Down
		return true
	})
}

func (t *Tracker) update(f func(*Server) bool) {
	t.mu.Lock()
	changed := f(&t.server)
	if changed {
		t.server.Since = t.now()
	}
	s := t.server
	t.mu.Unlock()
	if changed && t.onChange != nil {
		t.onChange(s)
	}
}
