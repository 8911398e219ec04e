package route

import (
	"math/rand/v2"
	"time"
)

const (
	// ewmaWeight is the weight of one call in the record of a target.
	ewmaWeight = 0.1
	// statsTTL is how long a record counts after its last call; then the target is tried anew.
	statsTTL = 3 * time.Second
	// minCalls is the number of calls from which a record counts.
	minCalls = 5
	// slowRatio is how many times longer than the fastest target a slow one runs; servers differ by up to three times.
	slowRatio = 3.5
	// failureThreshold is the excess of failed calls over the mean of the targets from which one is faulty.
	failureThreshold = 0.15
	// failurePenalty is the factor on the cost of a target for each share of excess failures.
	failurePenalty = 10.0
	// minFaultyLoad is added to the share in use, so that an idle faulty target has a cost.
	minFaultyLoad = 0.3
)

// methodStats is what the calls of one method at a target were like.
type methodStats struct {
	latency     time.Duration
	failureRate float64
	calls       int
	lastCall    time.Time
}

// recordCall takes one call.
func (c *candidate) recordCall(method string, r Report, now time.Time) {
	stats := c.stats[method]
	if stats == nil || now.Sub(stats.lastCall) > statsTTL {
		stats = &methodStats{}
		c.stats[method] = stats
	}
	stats.lastCall = now
	stats.calls++
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	stats.failureRate += ewmaWeight * (failed - stats.failureRate)
	switch {
	case r.Latency <= 0 || r.Failed:
	case stats.latency == 0:
		stats.latency = r.Latency
	default:
		stats.latency += time.Duration(ewmaWeight * float64(r.Latency-stats.latency))
	}
}

// methodBaseline is what the calls of one method are like at the targets of a service.
// A target that is much slower than the others, or fails more, gets fewer
// calls: failures are fast, and a faulty target would look idle. What all
// targets have in common, such as a deeper service that fails, counts against
// none.
type methodBaseline struct {
	method      string
	fastest     time.Duration
	failureRate float64
}

func newBaseline(list []*candidate, method string, now time.Time) methodBaseline {
	m := methodBaseline{method: method}
	n := 0
	for _, c := range list {
		stats := c.stats[method]
		if !stats.isValid(now) {
			continue
		}
		n++
		m.failureRate += stats.failureRate
		if stats.latency > 0 && (m.fastest == 0 || stats.latency < m.fastest) {
			m.fastest = stats.latency
		}
	}
	if n > 0 {
		m.failureRate /= float64(n)
	}
	return m
}

// isValid reports whether a record has calls enough of late.
func (r *methodStats) isValid(now time.Time) bool {
	return r != nil && r.calls >= minCalls && now.Sub(r.lastCall) <= statsTTL
}

// penalty returns by how much the faults of a target raise its cost, 1 for none.
func (m methodBaseline) penalty(c *candidate, now time.Time) float64 {
	stats := c.stats[m.method]
	if !stats.isValid(now) {
		return 1
	}
	f := 1.0
	if m.fastest > 0 && stats.latency > time.Duration(slowRatio*float64(m.fastest)) {
		f *= float64(stats.latency) / float64(m.fastest)
	}
	if excess := stats.failureRate - m.failureRate; excess > failureThreshold {
		f *= 1 + failurePenalty*excess
	}
	return f
}

// healthy reports whether a target has no fault.
func (m methodBaseline) healthy(c *candidate, now time.Time) bool {
	return m.penalty(c, now) <= 1
}

// cost is the share of a target in use, raised by its faults.
func (m methodBaseline) cost(c *candidate, now time.Time) float64 {
	penalty := m.penalty(c, now)
	if penalty <= 1 {
		return c.score(now)
	}
	return (c.score(now) + minFaultyLoad) * penalty
}

// pickTwo returns the cheaper of two random candidates, nil when there is none.
func (m methodBaseline) pickTwo(list []*candidate, now time.Time) *candidate {
	if len(list) == 0 {
		return nil
	}
	a := list[rand.IntN(len(list))]
	b := list[rand.IntN(len(list))]
	if m.cost(b, now) < m.cost(a, now) {
		return b
	}
	return a
}
