package front

import (
	"sync"
	"time"
)

// routeLatency holds the mean latency of the answers of each route at this entry.
type routeLatency struct {
	mu sync.Mutex
	m  map[string]time.Duration
}

func newRouteLatency() *routeLatency {
	return &routeLatency{m: map[string]time.Duration{}}
}

// observe takes the latency of one answer.
func (l *routeLatency) observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.m[route]
	if !ok {
		l.m[route] = d
		return
	}
	l.m[route] = mean + time.Duration(latencyWeight*float64(d-mean))
}

// mean returns the mean latency of a route, 0 when there was no answer yet.
func (l *routeLatency) mean(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m[route]
}
