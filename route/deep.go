package route

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

const (
	// callTTL is how long a call counts as one that a route's runs make.
	callTTL = 2 * time.Second
	// unavailableTTL is how long a route is closed after a call of its runs found no instance; then runs try again.
	unavailableTTL = 500 * time.Millisecond
	// routeTTL is how long the level of a route is told after its last run.
	routeTTL = 10 * time.Second
)

// Dependencies remembers which calls the runs of each route make, so that the levels
// of deeper services reach those who send to that route.
type Dependencies struct {
	mu    sync.Mutex
	calls map[string]map[Call]time.Time
	// lastRun holds when each route was last run here.
	lastRun map[string]time.Time
	// unavailableAt holds when a call last found no instance of its service.
	unavailableAt map[Call]time.Time
}

// Call is a kind of call that runs make.
type Call struct {
	Service, Method string
}

// NewDependencies returns an empty Deep.
func NewDependencies() *Dependencies {
	return &Dependencies{calls: map[string]map[Call]time.Time{}, lastRun: map[string]time.Time{}, unavailableAt: map[Call]time.Time{}}
}

// RecordCall notes that a run of a route made a call.
func (d *Dependencies) RecordCall(route string, c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[route] == nil {
		d.calls[route] = map[Call]time.Time{}
	}
	d.calls[route][c] = now
}

// RecordUnavailable notes that a call found no instance of its service.
func (d *Dependencies) RecordUnavailable(c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailableAt[c] = now
}

// RecordRun notes that a run of a route began.
func (d *Dependencies) RecordRun(route string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRun[route] = now
}

// Levels returns the level of each route that was run here of late: own, or
// the strictest among the calls that its runs make.
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

// Level returns the strictest level among the calls that runs of a route
// make.
func (d *Dependencies) Level(route string, t *Table, now time.Time) action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.levelLocked(route, t, now)
}

// levelLocked returns the strictest level among the calls that runs of a route
// make; d.mu is held.
func (d *Dependencies) levelLocked(route string, t *Table, now time.Time) action.Level {
	level := action.AdmitAll
	for c, at := range d.calls[route] {
		if now.Sub(at) > callTTL {
			delete(d.calls[route], c)
			continue
		}
		if now.Sub(d.unavailableAt[c]) < unavailableTTL {
			// No run of the route could end well.
			return 0
		}
		level = min(level, t.Level(c.Service, c.Method))
	}
	return level
}
