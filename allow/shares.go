package allow

import "sync"

const (
	// shareMargin is added to what a subtree is known to spend, in runs.
	shareMargin = 2
	// shareForget is the part of the gap by which a known peak falls with each cheaper reply.
	shareForget = 1.0 / 64
)

// Shares learns how many runs the subtree of each method spends. It is safe
// for concurrent use.
type Shares struct {
	mu    sync.Mutex
	peaks map[string]float64
}

// NewShares returns an empty Shares.
func NewShares() *Shares {
	return &Shares{peaks: make(map[string]float64)}
}

// Share returns how much of left to give to an attempt of the method. Before
// anything is known it is half of what is left.
func (s *Shares) Share(method string, left uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak, ok := s.peaks[method]
	if !ok {
		return (left + 1) / 2
	}
	return min(left, uint32(peak+0.999)+shareMargin)
}

// Observe records that an attempt of the method with the share n spent the
// given number of runs. Starved tells that the share was too small.
func (s *Shares) Observe(method string, n, spent uint32, starved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak := s.peaks[method]
	if starved {
		s.peaks[method] = max(peak, float64(2*n))
		return
	}
	if v := float64(spent); v >= peak {
		s.peaks[method] = v
		return
	}
	s.peaks[method] = peak - (peak-float64(spent))*shareForget
}
