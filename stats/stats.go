// Package stats holds the metrics of a daemon.
//
// A Set wraps a go-metrics registry with the names that a daemon uses, and
// reads it out as name and value pairs for operators.
package stats

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"sycamorespread.dev/invar"
	"sycamorespread.dev/sycapb"
)

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 1028
	// sampleAlpha weighs recent values.
	sampleAlpha = 0.015
)

// Set is the metrics of one daemon. It is safe for concurrent use.
type Set struct {
	reg metrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{reg: metrics.NewRegistry()}
}

func (s *Set) count(name string) {
	metrics.GetOrRegisterCounter(name, s.reg).Inc(1)
}

func (s *Set) time(name string, d time.Duration) {
	h := s.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

// Entry records one call of a caller.
func (s *Set) Entry(o sycapb.Outcome, why sycapb.Reason, d time.Duration) {
	s.count("entry." + word(o.String()))
	if why != sycapb.Reason_REASON_UNSPECIFIED {
		s.count("entry.reason." + word(why.String()))
	}
	s.time("entry.us", d)
}

// Ingress records one attempt at the backend server.
func (s *Set) Ingress(o sycapb.Outcome, d time.Duration) {
	s.count("ingress." + word(o.String()))
	s.time("ingress.us", d)
}

// Waited records how long a call was queued before it ran.
func (s *Set) Waited(d time.Duration) {
	s.time("gate.wait_us", d)
}

// Attempt records one attempt that was sent.
func (s *Set) Attempt() {
	s.count("egress.attempts")
}

// Request records how one request of a caller ended at the entry.
func (s *Set) Request(outcome string, d time.Duration) {
	s.count("request." + outcome)
	s.time("request.us", d)
}

// Run records how one request ended at the ingress, with its time in the
// queue and at the backend server.
func (s *Set) Run(outcome string, waited, ran time.Duration) {
	s.count("run." + outcome)
	s.time("run.wait_us", waited)
	s.time("run.us", ran)
}

// RetryDenied records a retry for which the budget had nothing left.
func (s *Set) RetryDenied() {
	s.count("egress.retry_denied")
}

// Panic records a panic that ended a task.
func (s *Set) Panic(task string) {
	s.count("panic." + task)
}

// OldHead records that the platform showed an older policy head.
func (s *Set) OldHead() {
	s.count("policy.old_head")
}

// Gauges sets values that are read at the moment.
func (s *Set) Gauges(values map[string]float64) {
	for name, v := range values {
		metrics.GetOrRegisterGaugeFloat64(name, s.reg).Update(v)
	}
}

// word turns an enum name of the schema into a metric name.
func word(enum string) string {
	_, name, _ := strings.Cut(enum, "_")
	return strings.ToLower(name)
}

// Read returns all metrics by name. Histograms give count, median, 99th
// percentile and maximum.
func (s *Set) Read() []*sycapb.Metric {
	list := []*sycapb.Metric{{Name: "invariants.broken", Value: float64(invar.Broken())}}
	add := func(name string, v float64) {
		list = append(list, &sycapb.Metric{Name: name, Value: v})
	}
	s.reg.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Histogram:
			snap := m.Snapshot()
			add(name+".count", float64(snap.Count()))
			add(name+".p50", snap.Percentile(0.5))
			add(name+".p99", snap.Percentile(0.99))
			add(name+".max", float64(snap.Max()))
		}
	})
	slices.SortFunc(list, func(a, b *sycapb.Metric) int { return strings.Compare(a.Name, b.Name) })
	return list
}
