package runlog

import (
	"fmt"
	"time"
)

const (
	// Window is the number of seconds at the start and at the end that are compared.
	Window = 5
	// MinRatio is the least that the last seconds may serve, as a ratio of the first.
	MinRatio = 0.97
)

// Span is a range of whole seconds with the sum of their counts.
type Span struct {
	From, To int
	Counts   Counts
}

// Seconds returns the number of seconds.
func (s Span) Seconds() int {
	return s.To - s.From
}

// Rate returns what is served per second, and 0 for an empty span.
func (s Span) Rate() float64 {
	return float64(s.Counts.Served) / float64(max(1, s.Seconds()))
}

// Verdict says whether a run serves as much after its last fault as before its first.
type Verdict struct {
	// First holds the first seconds of the traffic, at most Window, that ended before
	// the first fault, and Last the last ones that began after the last fault.
	First, Last Span
	// After holds all seconds that began after the last fault.
	After Span
	// Back is the number of seconds from the last fault to the first second that
	// serves MinRatio of First, or -1 if there is none.
	Back int
}

// Verdict compares the first and the last seconds without a fault.
func (r *Run) Verdict() Verdict {
	first, after := len(r.Seconds), 0
	for _, f := range r.Faults {
		first = min(first, int(f.From/time.Second))
		after = max(after, int((f.To+time.Second-1)/time.Second))
	}
	n := len(r.Seconds)
	after = min(after, n)
	v := Verdict{
		First: r.span(0, min(first, Window)),
		Last:  r.span(max(after, n-Window), n),
		After: r.span(after, n),
		Back:  -1,
	}
	for i := after; i < n && v.Back < 0; i++ {
		if isEnough(r.span(i, i+1), v.First) {
			v.Back = i - after
		}
	}
	return v
}

func (r *Run) span(from, to int) Span {
	s := Span{From: from, To: to}
	for _, c := range r.Seconds[from:to] {
		s.Counts = s.Counts.Plus(c)
	}
	return s
}

// isEnough reports whether a span serves MinRatio of what another serves per second.
func isEnough(s, base Span) bool {
	served := float64(s.Counts.Served) * float64(base.Seconds())
	return base.Counts.Served > 0 && s.Seconds() > 0 && served >= MinRatio*float64(base.Counts.Served)*float64(s.Seconds())
}

// Ratio returns what the last seconds serve as a ratio of the first, and 0 if either
// has no seconds or the first serve nothing.
func (v Verdict) Ratio() float64 {
	if v.First.Rate() <= 0 {
		return 0
	}
	return v.Last.Rate() / v.First.Rate()
}

// IsComplete reports whether the run has Window seconds without a fault at its start,
// and as many others at its end.
func (v Verdict) IsComplete() bool {
	return v.First.Seconds() == Window && v.Last.Seconds() == Window && v.First.To <= v.Last.From
}

// Recovered reports whether the last seconds serve at least MinRatio of the first.
func (v Verdict) Recovered() bool {
	return isEnough(v.Last, v.First)
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	word := "short"
	switch {
	case v.First.Seconds() == 0 || v.Last.Seconds() == 0:
		word = "unknown"
	case v.Recovered():
		word = "recovered"
	}
	back := "never"
	if v.Back >= 0 {
		back = fmt.Sprintf("%ds", v.Back)
	}
	c := v.After.Counts
	return fmt.Sprintf("verdict=%s ratio=%.3f least=%.2f first=%d/%ds last=%d/%ds after=%ds back=%s served=%d shed=%d late=%d lost=%d",
		word, v.Ratio(), MinRatio, v.First.Counts.Served, v.First.Seconds(), v.Last.Counts.Served, v.Last.Seconds(), v.After.Seconds(), back, c.Served, c.Shed, c.Late, c.Lost)
}
