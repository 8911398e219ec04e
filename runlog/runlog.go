// Package runlog is the log of a load run: how many requests of the callers were
// served, shed, late and lost in each second, and which faults were injected when.
//
// A log is a file with one JSON object per line. The first line names the run, each
// second and each fault has a line, and the last line has the totals by which a
// reader knows that the log is complete. Times are in milliseconds from the start of
// the callers' traffic. A second counts the requests that ended in it; the last line
// counts those that ended later.
//
//	{"kind":"run","name":"soak","seed":1,"began":"2026-05-04T10:00:00Z"}
//	{"kind":"second","at":0,"served":640,"shed":3,"late":0,"lost":1}
//	{"kind":"fault","name":"kill","target":"upper-2","from":5210,"to":6100}
//	{"kind":"end","seconds":1,"faults":1,"served":0,"shed":0,"late":0,"lost":2}
package runlog

import (
	"sync"
	"time"
)

// Outcome is the result of a request for its caller.
type Outcome int

const (
	// Served is a complete success within the caller's deadline.
	Served Outcome = iota
	// Shed is a request that did not run by the word of its response, or that could not
	// be sent by a client that retries.
	Shed
	// Late is a request that had no response by the caller's deadline.
	Late
	// Lost is every other request: failed, or broken off without a complete response.
	Lost
)

// Counts are numbers of requests by outcome.
type Counts struct {
	Served uint64 `json:"served"`
	Shed   uint64 `json:"shed"`
	Late   uint64 `json:"late"`
	Lost   uint64 `json:"lost"`
}

// Add counts a request.
func (c *Counts) Add(o Outcome) {
	switch o {
	case Served:
		c.Served++
	case Shed:
		c.Shed++
	case Late:
		c.Late++
	case Lost:
		c.Lost++
	}
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Served: c.Served + o.Served, Shed: c.Shed + o.Shed, Late: c.Late + o.Late, Lost: c.Lost + o.Lost}
}

// Fault is one injected fault. From and To are offsets from the start of the traffic.
type Fault struct {
	Name, Target string
	From, To     time.Duration
}

// Run is the log of one run.
type Run struct {
	Name  string
	Seed  uint64
	Began time.Time
	// Seconds holds the counts of the requests that ended in each second of the traffic.
	Seconds []Counts
	Faults  []Fault
	// Rest counts the requests that ended after the last second.
	Rest Counts
}

// Recorder collects a run. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	run     Run
	running map[int]bool
}

// NewRecorder returns a recorder of a run whose traffic starts at began.
func NewRecorder(name string, seed uint64, began time.Time) *Recorder {
	return &Recorder{run: Run{Name: name, Seed: seed, Began: began}, running: map[int]bool{}}
}

// Add counts a request that ended at a time, unless it ended before the start of the traffic.
func (r *Recorder) Add(at time.Time, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.run.Began) {
		return
	}
	second := int(at.Sub(r.run.Began) / time.Second)
	r.run.grow(second + 1)
	r.run.Seconds[second].Add(o)
}

// StartFault records the start of a fault, and returns a function that records its end.
func (r *Recorder) StartFault(at time.Time, name, target string) func(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.run.Faults)
	r.run.Faults = append(r.run.Faults, Fault{Name: name, Target: target, From: at.Sub(r.run.Began)})
	r.running[i] = true
	return func(end time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.run.Faults[i].To = end.Sub(r.run.Began)
		delete(r.running, i)
	}
}

// Finish returns a copy of the run, whose traffic ended at a time. A last second that
// is not whole belongs to the rest; a fault that has not ended lasts to the end.
func (r *Recorder) Finish(at time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	length := at.Sub(r.run.Began)
	n := int(length / time.Second)
	run := r.run
	run.Seconds = append([]Counts(nil), r.run.Seconds...)
	run.Faults = append([]Fault(nil), r.run.Faults...)
	run.grow(n)
	for _, c := range run.Seconds[n:] {
		run.Rest = run.Rest.Plus(c)
	}
	run.Seconds = run.Seconds[:n]
	for i := range r.running {
		run.Faults[i].To = max(length, run.Faults[i].From)
	}
	return &run
}

// grow extends the seconds to at least n.
func (r *Run) grow(n int) {
	for len(r.Seconds) < n {
		r.Seconds = append(r.Seconds, Counts{})
	}
}
