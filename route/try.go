package route

import (
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

// Attempt is one attempt at a target. Done or Fail must be called once.
type Attempt struct {
	// Target is where the attempt goes.
	Target Target

	table     *Table
	candidate *candidate
	method    string
}

// newAttempt counts an attempt at s; t.mu is held.
func (t *Table) newAttempt(c *candidate, method string) *Attempt {
	c.inflight++
	return &Attempt{Target: c.target, table: t, candidate: c, method: method}
}

// Report is what a reply tells of its server.
type Report struct {
	Load *sycapb.Load
	// Level is that of the method of the try.
	Level action.Level
	// Levels, when set, holds the levels of all methods that are not open, in place of Level.
	Levels  map[string]action.Level
	Leaving bool
	// Latency is the time at the backend server, 0 when it did not run the call.
	Latency time.Duration
	// Failed tells that the backend server failed the call, or refused it while it had room.
	Failed bool
}

// Done ends the attempt with a reply.
func (a *Attempt) Done(r Report) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	now := a.table.now()
	c := a.candidate
	c.inflight--
	c.failures = 0
	c.avoidUntil = time.Time{}
	if r.Leaving {
		c.avoidUntil = now.Add(maxBackoff)
	}
	if r.Load != nil && r.Load.Limit > 0 {
		c.load = float64(r.Load.Inflight+r.Load.Queued) / float64(r.Load.Limit)
		c.loadAt = now
	}
	c.recordCall(a.method, r, now)
	if r.Levels == nil {
		c.levels[a.method] = reportedLevel{level: r.Level, at: now}
		return
	}
	for method := range c.levels {
		c.levels[method] = reportedLevel{level: action.AdmitAll, at: now}
	}
	c.levels[a.method] = reportedLevel{level: action.AdmitAll, at: now}
	for method, level := range r.Levels {
		c.levels[method] = reportedLevel{level: level, at: now}
	}
}

// TimedOut ends the attempt without a reply after the time that it took; the
// server would have taken longer.
func (a *Attempt) TimedOut(elapsed time.Duration) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	c := a.candidate
	c.inflight--
	if stats := c.stats[a.method]; stats == nil || elapsed > stats.latency {
		c.recordCall(a.method, Report{Latency: elapsed}, a.table.now())
	}
}

// Fail ends the attempt without a reply. Unreachable tells that the server
// could not be reached or died, so that it is left out for a while.
func (a *Attempt) Fail(unreachable bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	c := a.candidate
	c.inflight--
	if !unreachable {
		return
	}
	backoff := min(minBackoff<<min(c.failures, 8), maxBackoff)
	c.failures++
	c.avoidUntil = a.table.now().Add(backoff)
}
