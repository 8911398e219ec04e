package admit

import (
	"slices"
	"time"
)

const (
	// maxRunSamples is the number of latest runs of a method that its estimate considers.
	maxRunSamples = 32
	// runSampleTTL is how long a run is considered. A call that the estimate rejects adds no run, so
	// the estimate must end by itself.
	runSampleTTL = 500 * time.Millisecond
	// runTimeQuantile is the quantile of the considered runs that is the estimate. A low one rejects
	// only calls that most runs would be too long for.
	runTimeQuantile = 0.25
)

// runSample is one completed run.
type runSample struct {
	d  time.Duration
	at time.Time
}

// runEstimate estimates the run time of a method from its latest runs.
type runEstimate struct {
	// samples is a ring of the latest runs; next is the index of the oldest one once it is full.
	samples []runSample
	next    int
}

func (e *runEstimate) add(d time.Duration, now time.Time) {
	if len(e.samples) < maxRunSamples {
		e.samples = append(e.samples, runSample{d: d, at: now})
		return
	}
	e.samples[e.next] = runSample{d: d, at: now}
	e.next = (e.next + 1) % maxRunSamples
}

// estimate returns the estimated run time, 0 without runs within runSampleTTL,
// with the number of runs that it considers and the age of the latest one.
func (e *runEstimate) estimate(now time.Time) (d time.Duration, runs int, age time.Duration) {
	var buf [maxRunSamples]time.Duration
	recent := buf[:0]
	age = runSampleTTL
	for _, s := range e.samples {
		if sampleAge := now.Sub(s.at); sampleAge < runSampleTTL {
			recent = append(recent, s.d)
			age = min(age, sampleAge)
		}
	}
	if len(recent) == 0 {
		return 0, 0, 0
	}
	slices.Sort(recent)
	return recent[int(runTimeQuantile*float64(len(recent)))], len(recent), age
}
