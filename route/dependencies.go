package route

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

const (
	// callTTL is how long a downstream call counts as a dependency of a route after it was last made.
	callTTL = 2 * time.Second
	// unavailableTTL is how long a route is closed after one of its downstream calls found no
	// instance. After that, requests of the route try again.
	unavailableTTL = 500 * time.Millisecond
	// routeTTL is how long the level of a route is reported after its last request.
	routeTTL = 10 * time.Second
)

// Dependencies tracks which downstream calls the requests of each route make,
// so that the levels of downstream services reach the senders of that route.
type Dependencies struct {
	mu    sync.Mutex
	calls map[string]map[Call]time.Time
	// lastRun holds when the last request of each route started here.
	lastRun map[string]time.Time
	// unavailableAt holds when a call last found no instance of its service.
	// See RecordUnavailable.
	unavailableAt map[Call]time.Time
}

// Call identifies a downstream call by its service and method.
type Call struct {
	Service, Method string
}

// NewDependencies returns an empty Dependencies.
func NewDependencies() *Dependencies {
	return &Dependencies{calls: map[string]map[Call]time.Time{}, lastRun: map[string]time.Time{}, unavailableAt: map[Call]time.Time{}}
}

// RecordCall records that a request of a route made a downstream call.
func (d *Dependencies) RecordCall(route string, c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[route] == nil {
		d.calls[route] = map[Call]time.Time{}
	}
	d.calls[route][c] = now
}

// RecordUnavailable records that a call found no instance of its service.
func (d *Dependencies) RecordUnavailable(c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailableAt[c] = now
}

// RecordRun records that a request of a route started.
func (d *Dependencies) RecordRun(route string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRun[route] = now
}

// Levels returns the level of each route with a request in the last routeTTL:
// the stricter of own and the strictest level of its downstream calls.
func (d *Dependencies) Levels(own action.Level, t *Table, now time.Time) map[string]action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	levels := make(map[string]action.Level, len(d.lastRun))
	for route, at := range d.lastRun {
		if now.Sub(at) > routeTTL {
			delete(d.lastRun, route)
			continue
		}
		levels[route] = min(own, d.levelLocked(route, t, now))
	}
	return levels
}

// Level returns the strictest level of the downstream calls of a route.
func (d *Dependencies) Level(route string, t *Table, now time.Time) action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.levelLocked(route, t, now)
}

// levelLocked returns the strictest level of the downstream calls of a route.
// The caller must hold d.mu.
func (d *Dependencies) levelLocked(route string, t *Table, now time.Time) action.Level {
	level := action.AdmitAll
	for c, at := range d.calls[route] {
		if now.Sub(at) > callTTL {
			delete(d.calls[route], c)
			continue
		}
		if now.Sub(d.unavailableAt[c]) < unavailableTTL {
			// No request of the route can succeed.
			return 0
		}
		level = min(level, t.Level(c.Service, c.Method))
	}
	return level
}
