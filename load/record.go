package load

import (
	"maps"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/runlog"
	"sycamorespread.dev/sycapb"
)

const (
	// BucketWidth is the width of a bucket of the time series.
	BucketWidth = 100 * time.Millisecond
	// recoveryWindow is the window over which the ratio of successful actions is taken.
	recoveryWindow = 5 * BucketWidth
	// recoveryRatio is the ratio of successful actions from which a window counts as recovered.
	recoveryRatio = 0.95

	histMax    = int64(time.Minute / time.Microsecond)
	histDigits = 3
)

// Counts are the numbers of actions by outcome.
type Counts struct {
	Offered, Succeeded, NotRun, Failed, Unknown, Mismatched, Sends uint64
}

// Recorder counts the outcomes of actions. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	kinds      []Kind
	counts     []Counts
	buckets    [][]Counts
	ended      [][]runlog.Counts
	latencies  *hdrhistogram.Histogram
	reasons    map[string]uint64
	mismatches []error
	notRun     map[action.ID]string
}

// NewRecorder returns an empty recorder for the kinds.
func NewRecorder(kinds []Kind) *Recorder {
	return &Recorder{
		kinds:     kinds,
		counts:    make([]Counts, len(kinds)),
		buckets:   make([][]Counts, len(kinds)),
		ended:     make([][]runlog.Counts, len(kinds)),
		latencies: hdrhistogram.New(1, histMax, histDigits),
		reasons:   map[string]uint64{},
		notRun:    map[action.ID]string{},
	}
}

func (r *Recorder) add(kind int, offset, latency time.Duration, res *caller.Result, mismatch error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := int(offset / BucketWidth)
	r.buckets[kind] = grow(r.buckets[kind], i+1)
	end := int((offset + latency) / BucketWidth)
	r.ended[kind] = grow(r.ended[kind], end+1)
	r.ended[kind][end].Add(outcomeOf(r.kinds[kind], latency, res, mismatch))
	r.count(&r.counts[kind], res, mismatch)
	r.count(&r.buckets[kind][i], res, mismatch)
	k := r.kinds[kind]
	if res.Outcome == sycapb.Outcome_OUTCOME_DONE {
		_ = r.latencies.RecordValue(min(latency.Microseconds(), histMax))
	} else {
		r.reasons[k.Name+": "+enumName(res.Outcome.String())+" "+enumName(res.Reason.String())+" "+numberPattern.ReplaceAllString(res.Detail, "#")]++
	}
	if res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		r.notRun[res.ID] = k.Service + "." + k.Method
	}
	if mismatch != nil {
		r.mismatches = append(r.mismatches, mismatch)
	}
}

// numberPattern matches the numbers in a detail. They are replaced, or else each
// detail would be counted as a reason of its own.
var numberPattern = regexp.MustCompile(`[0-9][0-9a-f.:µm]*`)

// enumName strips the type prefix from the name of a protobuf enum value.
func enumName(enum string) string {
	_, name, _ := strings.Cut(enum, "_")
	return strings.ToLower(name)
}

func (r *Recorder) count(c *Counts, res *caller.Result, mismatch error) {
	c.Offered++
	c.Sends += uint64(res.Sends)
	c.Mismatched += uint64(res.Mismatches)
	switch {
	case mismatch != nil:
		c.Mismatched++
	case res.Outcome == sycapb.Outcome_OUTCOME_DONE:
		c.Succeeded++
	case res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN:
		c.NotRun++
	case res.Outcome == sycapb.Outcome_OUTCOME_FAILED:
		c.Failed++
	default:
		c.Unknown++
	}
}

// outcomeOf returns the outcome of an action in the log of its run.
func outcomeOf(k Kind, latency time.Duration, res *caller.Result, mismatch error) runlog.Outcome {
	timedOut := k.Timeout > 0 && latency >= k.Timeout
	switch {
	case mismatch != nil:
		return runlog.Lost
	case res.Outcome == sycapb.Outcome_OUTCOME_DONE:
		return runlog.Served
	case timedOut, res.Reason == sycapb.Reason_REASON_DEADLINE:
		return runlog.Late
	case res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN:
		return runlog.Shed
	}
	return runlog.Lost
}

// Sum returns the total counts of the kinds with one of the names, or of all kinds.
func (r *Recorder) Sum(names ...string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counts
	for i, k := range r.kinds {
		if matchesName(k, names) {
			sum.add(r.counts[i])
		}
	}
	return sum
}

// grow extends s to at least n items.
func grow[T any](s []T, n int) []T {
	if len(s) < n {
		s = append(s, make([]T, n-len(s))...)
	}
	return s
}

// Completed returns the number of successful actions that ended in a time span.
func (r *Recorder) Completed(from, to time.Duration, names ...string) uint64 {
	return r.Ended(from, to, names...).Served
}

// Ended returns the counts of the actions that ended in a time span.
func (r *Recorder) Ended(from, to time.Duration, names ...string) runlog.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum runlog.Counts
	for i, k := range r.kinds {
		if !matchesName(k, names) {
			continue
		}
		for s, c := range r.ended[i] {
			if at := time.Duration(s) * BucketWidth; at >= from && at < to {
				sum = sum.Plus(c)
			}
		}
	}
	return sum
}

// Started returns the counts of the actions that started in a time span.
func (r *Recorder) Started(from, to time.Duration, names ...string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counts
	for i, k := range r.kinds {
		if !matchesName(k, names) {
			continue
		}
		for s, c := range r.buckets[i] {
			if at := time.Duration(s) * BucketWidth; at >= from && at < to {
				sum.add(c)
			}
		}
	}
	return sum
}

func matchesName(k Kind, names []string) bool {
	for _, n := range names {
		if n == k.Name {
			return true
		}
	}
	return len(names) == 0
}

func (c *Counts) add(o Counts) {
	c.Offered += o.Offered
	c.Succeeded += o.Succeeded
	c.NotRun += o.NotRun
	c.Failed += o.Failed
	c.Unknown += o.Unknown
	c.Mismatched += o.Mismatched
	c.Sends += o.Sends
}

// Recovery returns the time from end until the ratio of successful actions reaches
// recoveryRatio and stays there up to until. It is negative if that never happens.
func (r *Recorder) Recovery(end, until time.Duration) time.Duration {
	recovery := time.Duration(0)
	for at := end; at+recoveryWindow <= until; at += BucketWidth {
		c := r.Started(at, at+recoveryWindow)
		if c.Offered > 0 && float64(c.Succeeded) < recoveryRatio*float64(c.Offered) {
			recovery = at + BucketWidth - end
		}
	}
	if end+recovery+recoveryWindow >= until {
		return -1
	}
	return recovery
}

// Quantile returns a latency quantile of the successful actions; q is from 0 to 100.
func (r *Recorder) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// Reasons returns the number of unsuccessful actions by reason.
func (r *Recorder) Reasons() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reasons)
}

// NotRun returns the actions that were reported as not run, with their methods.
func (r *Recorder) NotRun() map[action.ID]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.notRun)
}

// Mismatches returns an error for each response that was truncated or belonged to
// another action.
func (r *Recorder) Mismatches() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.mismatches...)
}
