package route

import (
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

// Attempt is one attempt of a call at a target. Exactly one of Done, TimedOut
// and Fail must be called, once.
type Attempt struct {
	Target Target

	table     *Table
	candidate *candidate
	method    string
}

// newAttempt starts an attempt at c. The caller must hold t.mu.
func (t *Table) newAttempt(c *candidate, method string) *Attempt {
	c.inflight++
	return &Attempt{Target: c.target, table: t, candidate: c, method: method}
}

// Report is what a response reports about its backend server.
type Report struct {
	Load *sycapb.Load
	// Level is the admission level for the method of the attempt.
	Level action.Level
	// Levels, if not nil, replaces Level. It holds the levels of all methods that shed calls;
	// the other methods admit all.
	Levels  map[string]action.Level
	Leaving bool
	// Latency is the time at the backend server, or 0 if the server did not run the call.
	Latency time.Duration
	// Failed reports that the backend server failed the call, or rejected it while it had capacity.
	Failed bool
}

// Done ends the attempt with a response.
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

// TimedOut ends the attempt that was given up after elapsed without a response.
// The latency of the server is at least elapsed, so it counts only if it is
// above the average.
func (a *Attempt) TimedOut(elapsed time.Duration) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	c := a.candidate
	c.inflight--
	if stats := c.stats[a.method]; stats == nil || elapsed > stats.latency {
		c.recordCall(a.method, Report{Latency: elapsed}, a.table.now())
	}
}

// Fail ends the attempt without a response. If the server was unreachable or
// died, unreachable is true and the target backs off.
func (a *Attempt) Fail(unreachable bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	c := a.candidate
	c.inflight--
	if !unreachable {
		return
	}
	now := a.table.now()
	if now.Before(c.avoidUntil) {
		// The failure began the backoff with others that were in flight.
		return
	}
	c.avoidUntil = now.Add(min(minBackoff<<min(c.failures, 8), maxBackoff))
	c.failures++
}
