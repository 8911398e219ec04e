package allow

import "sync"

const (
	// shareMargin is added to the estimated cost of a subtree, in runs.
	shareMargin = 2
	// peakDecay is the fraction of the difference by which a peak falls toward each cheaper reply.
	peakDecay = 1.0 / 64
)

// CostEstimator estimates how many runs the subtree of each method spends. It is safe for
// concurrent use.
type CostEstimator struct {
	mu    sync.Mutex
	peaks map[string]float64
}

// NewCostEstimator returns an estimator without observations.
func NewCostEstimator() *CostEstimator {
	return &CostEstimator{peaks: make(map[string]float64)}
}

// Share returns the share of the remaining runs to give to an attempt of the method: half of them
// while the method has no estimate.
func (e *CostEstimator) Share(method string, remaining uint32) uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak, ok := e.peaks[method]
	if !ok {
		return (remaining + 1) / 2
	}
	return min(remaining, uint32(peak+0.999)+shareMargin)
}

// Observe records the number of runs that an attempt of the method spent of its share. If exhausted
// is set, the share was too small.
func (e *CostEstimator) Observe(method string, share, spent uint32, exhausted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peaks[method]
	if exhausted {
		e.peaks[method] = max(peak, float64(2*share))
		return
	}
	if cost := float64(spent); cost >= peak {
		e.peaks[method] = cost
		return
	}
	e.peaks[method] = peak - (peak-float64(spent))*peakDecay
}
