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
	"sycamorespread.dev/sycapb"
)

const (
	// Slice is the length of a bucket of the time line.
	Slice = 100 * time.Millisecond
	// recoverySpan is the window over which the share of whole actions counts as recovered.
	recoverySpan = 5 * Slice
	// recoveredShare is the share of whole actions that counts as recovered.
	recoveredShare = 0.95

	histMax    = int64(time.Minute / time.Microsecond)
	histDigits = 3
)

// Counts tells how the actions of one kind ended.
type Counts struct {
	Offered, Whole, NotRun, Failed, Unknown, Wrong, Sends uint64
}

// Recorder keeps how actions ended. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	kinds   []Kind
	counts  []Counts
	slices  [][]Counts
	ended   [][]uint64
	times   *hdrhistogram.Histogram
	reasons map[string]uint64
	wrong   []error
	notRun  map[action.ID]string
}

// NewRecorder returns an empty record of the kinds.
func NewRecorder(kinds []Kind) *Recorder {
	return &Recorder{
		kinds:   kinds,
		counts:  make([]Counts, len(kinds)),
		slices:  make([][]Counts, len(kinds)),
		ended:   make([][]uint64, len(kinds)),
		times:   hdrhistogram.New(1, histMax, histDigits),
		reasons: map[string]uint64{},
		notRun:  map[action.ID]string{},
	}
}

func (r *Recorder) add(kind int, at, took time.Duration, res *caller.Result, wrong error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := int(at / Slice)
	r.slices[kind] = grow(r.slices[kind], i+1)
	if end := int((at + took) / Slice); wrong == nil && res.Outcome == sycapb.Outcome_OUTCOME_DONE {
		r.ended[kind] = grow(r.ended[kind], end+1)
		r.ended[kind][end]++
	}
	r.count(&r.counts[kind], res, wrong)
	r.count(&r.slices[kind][i], res, wrong)
	k := r.kinds[kind]
	if res.Outcome == sycapb.Outcome_OUTCOME_DONE {
		_ = r.times.RecordValue(min(took.Microseconds(), histMax))
	} else {
		r.reasons[k.Name+": "+word(res.Outcome.String())+" "+word(res.Reason.String())+" "+digits.ReplaceAllString(res.Detail, "#")]++
	}
	if res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		r.notRun[res.ID] = k.Service + "." + k.Method
	}
	if wrong != nil {
		r.wrong = append(r.wrong, wrong)
	}
}

// digits finds the numbers in a detail, which would make each one its own.
var digits = regexp.MustCompile(`[0-9][0-9a-f.:µm]*`)

// word shortens an enum name of the schema.
func word(enum string) string {
	_, name, _ := strings.Cut(enum, "_")
	return strings.ToLower(name)
}

func (r *Recorder) count(c *Counts, res *caller.Result, wrong error) {
	c.Offered++
	c.Sends += uint64(res.Sends)
	c.Wrong += uint64(res.Mismatches)
	switch {
	case wrong != nil:
		c.Wrong++
	case res.Outcome == sycapb.Outcome_OUTCOME_DONE:
		c.Whole++
	case res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN:
		c.NotRun++
	case res.Outcome == sycapb.Outcome_OUTCOME_FAILED:
		c.Failed++
	default:
		c.Unknown++
	}
}

// Sum returns the counts of the kinds with one of the names, or of all.
func (r *Recorder) Sum(names ...string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counts
	for i, k := range r.kinds {
		if named(k, names) {
			sum.plus(r.counts[i])
		}
	}
	return sum
}

// grow returns s with at least n items.
func grow[T any](s []T, n int) []T {
	if len(s) < n {
		s = append(s, make([]T, n-len(s))...)
	}
	return s
}

// Ended returns how many whole actions ended in a time span.
func (r *Recorder) Ended(from, to time.Duration, names ...string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := uint64(0)
	for i, k := range r.kinds {
		if !named(k, names) {
			continue
		}
		for s, n := range r.ended[i] {
			if at := time.Duration(s) * Slice; at >= from && at < to {
				sum += n
			}
		}
	}
	return sum
}

// Between returns the counts of the actions that started in a time span.
func (r *Recorder) Between(from, to time.Duration, names ...string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counts
	for i, k := range r.kinds {
		if !named(k, names) {
			continue
		}
		for s, c := range r.slices[i] {
			if at := time.Duration(s) * Slice; at >= from && at < to {
				sum.plus(c)
			}
		}
	}
	return sum
}

func named(k Kind, names []string) bool {
	for _, n := range names {
		if n == k.Name {
			return true
		}
	}
	return len(names) == 0
}

func (c *Counts) plus(o Counts) {
	c.Offered += o.Offered
	c.Whole += o.Whole
	c.NotRun += o.NotRun
	c.Failed += o.Failed
	c.Unknown += o.Unknown
	c.Wrong += o.Wrong
	c.Sends += o.Sends
}

// Recovery returns the time from end until the share of whole actions among
// those that started stays at its normal value up to until. It is negative
// when that does not happen.
func (r *Recorder) Recovery(end, until time.Duration) time.Duration {
	last := time.Duration(0)
	for at := end; at+recoverySpan <= until; at += Slice {
		c := r.Between(at, at+recoverySpan)
		if c.Offered > 0 && float64(c.Whole) < recoveredShare*float64(c.Offered) {
			last = at + Slice - end
		}
	}
	if end+last+recoverySpan >= until {
		return -1
	}
	return last
}

// Quantile returns a latency of the whole actions, q from 0 to 100.
func (r *Recorder) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.times.ValueAtQuantile(q)) * time.Microsecond
}

// Reasons returns why actions were not done, with counts.
func (r *Recorder) Reasons() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reasons)
}

// NotRun returns the actions that were called not run, with their methods.
func (r *Recorder) NotRun() map[action.ID]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.notRun)
}

// Wrong returns the answers that were not whole or not the caller's own.
func (r *Recorder) Wrong() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.wrong...)
}
