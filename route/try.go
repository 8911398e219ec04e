package route

import (
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

// Try is one attempt at a target. Done or Fail must be called once.
type Try struct {
	// Target is where the attempt goes.
	Target Target

	t      *Table
	s      *state
	method string
}

// try counts an attempt at s; t.mu is held.
func (t *Table) try(s *state, method string) *Try {
	s.inflight++
	return &Try{Target: s.target, t: t, s: s, method: method}
}

// Report is what a reply tells of its server.
type Report struct {
	Load *sycapb.Load
	// Level is that of the method of the try.
	Level action.Level
	// Levels, when set, holds the levels of all methods that are not open, in place of Level.
	Levels  map[string]action.Level
	Leaving bool
	// Took is the time at the backend server, 0 when it did not run the call.
	Took time.Duration
	// Failed tells that the backend server failed the call, or refused it while it had room.
	Failed bool
}

// Done ends the attempt with a reply.
func (y *Try) Done(r Report) {
	y.t.mu.Lock()
	defer y.t.mu.Unlock()
	now := y.t.now()
	s := y.s
	s.inflight--
	s.failures = 0
	s.avoid = time.Time{}
	if r.Leaving {
		s.avoid = now.Add(avoidMost)
	}
	if r.Load != nil && r.Load.Limit > 0 {
		s.load = float64(r.Load.Inflight+r.Load.Queued) / float64(r.Load.Limit)
		s.loadAt = now
	}
	s.record(y.method, r, now)
	if r.Levels == nil {
		s.levels[y.method] = note{level: r.Level, at: now}
		return
	}
	for method := range s.levels {
		s.levels[method] = note{level: action.AdmitAll, at: now}
	}
	s.levels[y.method] = note{level: action.AdmitAll, at: now}
	for method, level := range r.Levels {
		s.levels[method] = note{level: level, at: now}
	}
}

// Slow ends the attempt without a reply after the time that it took; the
// server would have taken longer.
func (y *Try) Slow(took time.Duration) {
	y.t.mu.Lock()
	defer y.t.mu.Unlock()
	s := y.s
	s.inflight--
	if rec := s.runs[y.method]; rec == nil || took > rec.took {
		s.record(y.method, Report{Took: took}, y.t.now())
	}
}

// Fail ends the attempt without a reply. Unreachable tells that the server
// could not be reached or died, so that it is left out for a while.
func (y *Try) Fail(unreachable bool) {
	y.t.mu.Lock()
	defer y.t.mu.Unlock()
	s := y.s
	s.inflight--
	if !unreachable {
		return
	}
	wait := min(avoidFirst<<min(s.failures, 8), avoidMost)
	s.failures++
	s.avoid = y.t.now().Add(wait)
}
