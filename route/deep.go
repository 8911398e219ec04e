package route

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

const (
	// deepKeep is how long a call counts as one that a route's runs make.
	deepKeep = 2 * time.Second
	// blockedFor is how long a route is closed after a call of its runs found no instance; then runs try again.
	blockedFor = 500 * time.Millisecond
	// servedKeep is how long the level of a route is told after its last run.
	servedKeep = 10 * time.Second
)

// Deep remembers which calls the runs of each route make, so that the levels
// of deeper services reach those who send to that route.
type Deep struct {
	mu sync.Mutex
	m  map[string]map[Call]time.Time
	// served holds when each route was last run here.
	served map[string]time.Time
	// blocked holds when a call last found no instance of its service.
	blocked map[Call]time.Time
}

// Call is a kind of call that runs make.
type Call struct {
	Service, Method string
}

// NewDeep returns an empty Deep.
func NewDeep() *Deep {
	return &Deep{m: map[string]map[Call]time.Time{}, served: map[string]time.Time{}, blocked: map[Call]time.Time{}}
}

// Called notes that a run of a route made a call.
func (d *Deep) Called(by string, c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.m[by] == nil {
		d.m[by] = map[Call]time.Time{}
	}
	d.m[by][c] = now
}

// Block notes that a call found no instance of its service.
func (d *Deep) Block(c Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked[c] = now
}

// Ran notes that a run of a route began.
func (d *Deep) Ran(by string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served[by] = now
}

// Levels returns the level of each route that was run here of late: own, or
// the strictest among the calls that its runs make.
func (d *Deep) Levels(own action.Level, t *Table, now time.Time) map[string]action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[string]action.Level, len(d.served))
	for by, at := range d.served {
		if now.Sub(at) > servedKeep {
			delete(d.served, by)
			continue
		}
		list[by] = min(own, d.level(by, t, now))
	}
	return list
}

// Level returns the strictest level among the calls that runs of a route
// make.
func (d *Deep) Level(by string, t *Table, now time.Time) action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.level(by, t, now)
}

// level returns the strictest level among the calls that runs of a route
// make; d.mu is held.
func (d *Deep) level(by string, t *Table, now time.Time) action.Level {
	level := action.AdmitAll
	for c, at := range d.m[by] {
		if now.Sub(at) > deepKeep {
			delete(d.m[by], c)
			continue
		}
		if now.Sub(d.blocked[c]) < blockedFor {
			// No run of the route could end well.
			return 0
		}
		level = min(level, t.Level(c.Service, c.Method))
	}
	return level
}
