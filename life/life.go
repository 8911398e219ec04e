// Package life follows the backend server beside a daemon from its start to
// its end.
//
// A backend server says of itself that it is ready or leaves; it says nothing
// when it crashes. Reports may come late and out of order: they are ordered by
// the start of the server, then by their sequence. A server that said it
// leaves never becomes ready again; a later start does.
//
//	k := life.New(addr, time.Now, func(s life.Server) { announce(s) })
//	k.Beat(report)
//	if s := k.Server(); s.State == life.Ready {
//		// run work there
//	}
package life

import (
	"net/netip"
	"sync"
	"time"
)

// lateReportTimeout is for how long a server that said it leaves may still send reports. Servers serve for some seconds more,
// at times many, before they end.
const lateReportTimeout = 30 * time.Second

// State tells whether a backend server takes work.
type State int

const (
	// Unknown is a server that has not said anything to this process.
	Unknown State = iota
	// Ready is a server that takes work.
	Ready
	// Down is a server that refuses connections or is another than expected.
	Down
	// Leaving is a server that said it leaves.
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "down", "leaving"}[s]
}

// Report is what a backend server says of itself.
type Report struct {
	// Instance is the ID of the server, Born the time of its start.
	Instance  string
	StartedAt time.Time
	// Sequence rises with each report of one start.
	Sequence int64
	Addr     netip.AddrPort
	Service  string
	// Software is the version of the server's software.
	Software string
	Zone     string
	// Slots is the number of requests that the server runs at once.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the server stays slow after its start.
	ColdRemaining time.Duration
}

// Server is what is known of the backend server.
type Server struct {
	Report
	State State
	// ColdUntil is when the server is expected to be at full speed.
	ColdUntil time.Time
	// Since is when the state last changed.
	Since time.Time
}

// Tracker holds the state of one backend server. It is safe for concurrent
// use.
type Tracker struct {
	addr     netip.AddrPort
	now      func() time.Time
	onChange func(Server)

	mu     sync.Mutex
	server Server
}

// New returns a Keeper for the server at addr that calls changed, outside of
// any lock, after each change of the server or its state.
func New(addr netip.AddrPort, now func() time.Time, onChange func(Server)) *Tracker {
	return &Tracker{addr: addr, now: now, onChange: onChange}
}

// Server returns what is known now.
func (k *Tracker) Server() Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.server
}

// HandleReport takes a report and tells whether it is of the server at this keeper's
// address. A report that is older than what is known changes nothing.
func (k *Tracker) HandleReport(r Report) bool {
	if r.Addr != k.addr {
		return false
	}
	k.update(func(s *Server) bool {
		if r.StartedAt.Before(s.StartedAt) || r.StartedAt.Equal(s.StartedAt) && r.Sequence <= s.Sequence {
			return false
		}
		restarted := r.StartedAt.After(s.StartedAt) && !k.isLateReport(s, r)
		oldState := s.State
		s.Report = r
		s.ColdUntil = k.now().Add(r.ColdRemaining)
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

// isLateReport reports whether a report is of a server that said it leaves while its
// start was not known. One that started later has a later time of day, unless
// the clock went back; after lateReportTimeout the server that left is gone.
func (k *Tracker) isLateReport(s *Server, r Report) bool {
	if s.State != Leaving || !s.StartedAt.IsZero() || s.Instance != r.Instance {
		return false
	}
	return !r.StartedAt.After(s.Since) && k.now().Sub(s.Since) < lateReportTimeout
}

// HandleProbe takes the answer of a server that was asked what it is. It counts only
// until the server has said something of itself.
func (k *Tracker) HandleProbe(id, service string, slots int) {
	k.update(func(s *Server) bool {
		if s.State != Unknown {
			return false
		}
		s.Report = Report{Instance: id, Addr: k.addr, Service: service, Slots: slots}
		s.State = Ready
		return true
	})
}

// MarkLeaving takes the word that a server leaves. A zero born means that it was
// not said. The word counts also before anything else is known of the server,
// as after a restart of this process; that of an earlier start does not.
func (k *Tracker) MarkLeaving(id string, startedAt time.Time) {
	k.update(func(s *Server) bool {
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

// MarkDown records that the server with the given ID refuses connections, or that
// another one has its address. Its next report brings it back.
func (k *Tracker) MarkDown(id string) {
	k.update(func(s *Server) bool {
		if s.Instance != id || s.State != Ready {
			return false
		}
		s.State = Down
		return true
	})
}

func (k *Tracker) update(f func(*Server) bool) {
	k.mu.Lock()
	changed := f(&k.server)
	if changed {
		k.server.Since = k.now()
	}
	s := k.server
	k.mu.Unlock()
	if changed && k.onChange != nil {
		k.onChange(s)
	}
}
