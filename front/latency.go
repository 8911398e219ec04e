package front

import (
	"sync"
	"time"
)

// latency holds the mean latency of the answers of each route at this entry.
type latency struct {
	mu sync.Mutex
	m  map[string]time.Duration
}

func newLatency() *latency {
	return &latency{m: map[string]time.Duration{}}
}

// add takes the latency of one answer.
func (l *latency) add(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.m[route]
	if !ok {
		l.m[route] = d
		return
	}
	l.m[route] = mean + time.Duration(tookWeight*float64(d-mean))
}

// of returns the mean latency of a route, 0 when there was no answer yet.
func (l *latency) of(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m[route]
}
