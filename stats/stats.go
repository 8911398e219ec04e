// Package stats holds the metrics of a daemon.
//
// A Set wraps a go-metrics registry with the metric names of a daemon, and
// exports it as name and value pairs for operators.
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
	// sampleSize is the number of values in the sample of a histogram.
	sampleSize = 1028
	// decayAlpha is the decay factor of the sample. A higher factor favors recent values more.
	decayAlpha = 0.015
)

// Set holds the metrics of one daemon. It is safe for concurrent use.
type Set struct {
	reg metrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{reg: metrics.NewRegistry()}
}

func (s *Set) inc(name string) {
	metrics.GetOrRegisterCounter(name, s.reg).Inc(1)
}

func (s *Set) observe(name string, d time.Duration) {
	s.sample(name, d.Microseconds())
}

func (s *Set) sample(name string, v int64) {
	h := s.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, decayAlpha))
	})
	h.(metrics.Histogram).Update(v)
}

// Entry records the outcome and duration of one call from a caller.
func (s *Set) Entry(outcome sycapb.Outcome, reason sycapb.Reason, d time.Duration) {
	s.inc("entry." + metricName(outcome.String()))
	if reason != sycapb.Reason_REASON_UNSPECIFIED {
		s.inc("entry.reason." + metricName(reason.String()))
	}
	s.observe("entry.us", d)
}

// Ingress records the outcome and duration of one attempt at the backend server.
func (s *Set) Ingress(outcome sycapb.Outcome, d time.Duration) {
	s.inc("ingress." + metricName(outcome.String()))
	s.observe("ingress.us", d)
}

// QueueWait records the time that a call was queued before it ran.
func (s *Set) QueueWait(d time.Duration) {
	s.observe("gate.wait_us", d)
}

// Attempt counts an attempt that was sent.
func (s *Set) Attempt() {
	s.inc("egress.attempts")
}

// Request records the outcome and duration of one request from a caller at the entry.
func (s *Set) Request(outcome string, d time.Duration) {
	s.inc("request." + outcome)
	s.observe("request.us", d)
}

// Shed records the share of the slots of its service, in percent, that were known to be free when a
// request was shed.
func (s *Set) Shed(freePercent int64) {
	s.sample("request.shed_free_percent", freePercent)
}

// Run records the outcome of one request at the ingress, with its time in the
// queue and at the backend server.
func (s *Set) Run(outcome string, queueWait, runTime time.Duration) {
	s.inc("run." + outcome)
	s.observe("run.wait_us", queueWait)
	s.observe("run.us", runTime)
}

// Stray counts bytes of the backend server that belong to no request, by where they were found.
func (s *Set) Stray(place string) {
	s.inc("server.stray." + place)
}

// RetryDenied counts a retry that was not sent because the retry budget was exhausted.
func (s *Set) RetryDenied() {
	s.inc("egress.retry_denied")
}

// Panic counts a panic that ended a task.
func (s *Set) Panic(task string) {
	s.inc("panic." + task)
}

// StaleHead counts a policy head from the platform that is older than a known one.
func (s *Set) StaleHead() {
	s.inc("policy.old_head")
}

// Gauges sets the gauges to the given values.
func (s *Set) Gauges(values map[string]float64) {
	for name, v := range values {
		metrics.GetOrRegisterGaugeFloat64(name, s.reg).Update(v)
	}
}

// metricName converts the name of an enum value of the schema to a part of a
// metric name: it removes the prefix and converts to lower case.
func metricName(enum string) string {
	_, name, _ := strings.Cut(enum, "_")
	return strings.ToLower(name)
}

// Snapshot returns all metrics, sorted by name. A histogram has a count, median,
// 99th percentile and maximum.
func (s *Set) Snapshot() []*sycapb.Metric {
	list := []*sycapb.Metric{{Name: "invariants.broken", Value: float64(invar.Violations())}}
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
