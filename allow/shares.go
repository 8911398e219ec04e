package allow

import "sync"

const (
	// shareMargin is added to what a subtree is known to spend, in runs.
	shareMargin = 2
	// peakDecay is the part of the gap by which a known peak falls with each cheaper reply.
	peakDecay = 1.0 / 64
)

// CostEstimator learns how many runs the subtree of each method spends. It is safe
// for concurrent use.
type CostEstimator struct {
	mu    sync.Mutex
	peaks map[string]float64
}

// NewCostEstimator returns an empty Shares.
func NewCostEstimator() *CostEstimator {
	return &CostEstimator{peaks: make(map[string]float64)}
}

// Share returns how much of left to give to an attempt of the method. Before
// anything is known it is half of what is left.
func (s *CostEstimator) Share(method string, remaining uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak, ok := s.peaks[method]
	if !ok {
		return (remaining + 1) / 2
	}
	return min(remaining, uint32(peak+0.999)+shareMargin)
}

// Observe records that an attempt of the method with the share n spent the
// given number of runs. Starved tells that the share was too small.
func (s *CostEstimator) Observe(method string, share, spent uint32, exhausted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak := s.peaks[method]
	if exhausted {
		s.peaks[method] = max(peak, float64(2*share))
		return
	}
	if v := float64(spent); v >= peak {
		s.peaks[method] = v
		return
	}
	s.peaks[method] = peak - (peak-float64(spent))*peakDecay
}
