package route

import (
	"math/rand/v2"
	"time"
)

const (
	// recordWeight is the weight of one call in the record of a target.
	recordWeight = 0.1
	// recordKeep is how long a record counts after its last call; then the target is tried anew.
	recordKeep = 3 * time.Second
	// recordLeast is the number of calls from which a record counts.
	recordLeast = 5
	// slowFrom is how many times longer than the fastest target a slow one runs; servers differ by up to three times.
	slowFrom = 3.5
	// failedFrom is the excess of failed calls over the mean of the targets from which one is faulty.
	failedFrom = 0.15
	// failedCost is the factor on the cost of a target for each share of excess failures.
	failedCost = 10.0
	// costBase is added to the share in use, so that an idle faulty target has a cost.
	costBase = 0.3
)

// record is what the calls of one method at a target were like.
type record struct {
	took   time.Duration
	failed float64
	n      int
	at     time.Time
}

// record takes one call.
func (s *state) record(method string, r Report, now time.Time) {
	rec := s.runs[method]
	if rec == nil || now.Sub(rec.at) > recordKeep {
		rec = &record{}
		s.runs[method] = rec
	}
	rec.at = now
	rec.n++
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	rec.failed += recordWeight * (failed - rec.failed)
	switch {
	case r.Took <= 0 || r.Failed:
	case rec.took == 0:
		rec.took = r.Took
	default:
		rec.took += time.Duration(recordWeight * float64(r.Took-rec.took))
	}
}

// norm is what the calls of one method are like at the targets of a service.
// A target that is much slower than the others, or fails more, gets fewer
// calls: failures are fast, and a faulty target would look idle. What all
// targets have in common, such as a deeper service that fails, counts against
// none.
type norm struct {
	method  string
	fastest time.Duration
	failed  float64
}

func normOf(list []*state, method string, now time.Time) norm {
	m := norm{method: method}
	n := 0
	for _, s := range list {
		rec := s.runs[method]
		if !rec.counts(now) {
			continue
		}
		n++
		m.failed += rec.failed
		if rec.took > 0 && (m.fastest == 0 || rec.took < m.fastest) {
			m.fastest = rec.took
		}
	}
	if n > 0 {
		m.failed /= float64(n)
	}
	return m
}

// counts reports whether a record has calls enough of late.
func (r *record) counts(now time.Time) bool {
	return r != nil && r.n >= recordLeast && now.Sub(r.at) <= recordKeep
}

// factor returns by how much the faults of a target raise its cost, 1 for none.
func (m norm) factor(s *state, now time.Time) float64 {
	rec := s.runs[m.method]
	if !rec.counts(now) {
		return 1
	}
	f := 1.0
	if m.fastest > 0 && rec.took > time.Duration(slowFrom*float64(m.fastest)) {
		f *= float64(rec.took) / float64(m.fastest)
	}
	if excess := rec.failed - m.failed; excess > failedFrom {
		f *= 1 + failedCost*excess
	}
	return f
}

// sound reports whether a target has no fault.
func (m norm) sound(s *state, now time.Time) bool {
	return m.factor(s, now) <= 1
}

// cost is the share of a target in use, raised by its faults.
func (m norm) cost(s *state, now time.Time) float64 {
	f := m.factor(s, now)
	if f <= 1 {
		return s.score(now)
	}
	return (s.score(now) + costBase) * f
}

// better returns the cheaper of two random candidates, nil when there is none.
func (m norm) better(list []*state, now time.Time) *state {
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
