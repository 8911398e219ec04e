package route

import (
	"time"
)

const (
	// ewmaWeight is the weight of one call in the moving averages of a target.
	ewmaWeight = 0.1
	// statsTTL is how long statistics are valid after the last call. After that, the target is
	// tried again as if it had no faults.
	statsTTL = 3 * time.Second
	// minCalls is the number of calls from which statistics are valid.
	minCalls = 5
	// slowRatio is the latency, relative to the fastest target, above which a target is slow.
	// The speeds of healthy servers differ by a factor of up to three.
	slowRatio = 3.5
	// failureThreshold is the excess of a target's failure rate over the mean above which the
	// target is faulty.
	failureThreshold = 0.15
	// failurePenalty scales the excess failure rate of a target to a factor on its cost.
	failurePenalty = 10.0
	// minFaultyLoad is added to the score of a faulty target, so that it has a cost when idle.
	minFaultyLoad = 0.3
)

// methodStats holds moving averages over the calls of one method at a target.
type methodStats struct {
	latency     time.Duration
	failureRate float64
	calls       int
	lastCall    time.Time
}

// recordCall adds one call to the statistics of a method.
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

// methodBaseline holds the lowest latency and the mean failure rate of one
// method over all targets of a service. A target that is much slower than the
// fastest, or fails more often than the mean, gets fewer calls: failures are
// fast, so a faulty target would look idle. A cause that all targets share,
// such as a failing downstream service, penalizes none of them.
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

// isValid reports whether there are enough recent calls to judge the target.
func (s *methodStats) isValid(now time.Time) bool {
	return s != nil && s.calls >= minCalls && now.Sub(s.lastCall) <= statsTTL
}

// penalty returns the factor by which the faults of a target raise its cost,
// or 1 if it has none.
func (m methodBaseline) penalty(c *candidate, now time.Time) float64 {
	stats := c.stats[m.method]
	if !stats.isValid(now) {
		return 1
	}
	factor := 1.0
	if m.fastest > 0 && stats.latency > time.Duration(slowRatio*float64(m.fastest)) {
		factor *= float64(stats.latency) / float64(m.fastest)
	}
	if excess := stats.failureRate - m.failureRate; excess > failureThreshold {
		factor *= 1 + failurePenalty*excess
	}
	return factor
}

// healthy reports whether a target has no penalty.
func (m methodBaseline) healthy(c *candidate, now time.Time) bool {
	return m.penalty(c, now) <= 1
}

// cost returns the score of a target, raised by its penalty.
func (m methodBaseline) cost(c *candidate, now time.Time) float64 {
	penalty := m.penalty(c, now)
	if penalty <= 1 {
		return c.score(now)
	}
	return (c.score(now) + minFaultyLoad) * penalty
}

// pickTwo returns the cheaper of two random candidates, or nil if list is empty.
func (m methodBaseline) pickTwo(list []*candidate, now time.Time, intN func(n int) int) *candidate {
	if len(list) == 0 {
		return nil
	}
	a := list[intN(len(list))]
	b := list[intN(len(list))]
	if m.cost(b, now) < m.cost(a, now) {
		return b
	}
	return a
}
