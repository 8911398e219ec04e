package front

import (
	"sync"
	"time"
)

// routeLatency holds a moving average of the response latency of each route, as callers of this
// Front see it.
type routeLatency struct {
	mu sync.Mutex
	m  map[string]time.Duration
}

func newRouteLatency() *routeLatency {
	return &routeLatency{m: map[string]time.Duration{}}
}

// observe adds the latency of one response.
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

// mean returns the average latency of a route, 0 before its first response.
func (l *routeLatency) mean(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m[route]
}
