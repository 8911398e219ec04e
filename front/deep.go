package front

import (
	"strings"
	"sync"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
)

const (
	// deepKeep is how long a call counts as one that a route's runs make.
	deepKeep = 2 * time.Second
	// blockedFor is how long a route is closed after a call of its runs found no instance; then runs try again.
	blockedFor = 500 * time.Millisecond
	// servedKeep is how long the level of a route is told after its last run.
	servedKeep = 10 * time.Second
)

// deep remembers which calls the runs of each route make, so that the levels
// of deeper services reach those who send to that route.
type deep struct {
	mu sync.Mutex
	m  map[string]map[call]time.Time
	// served holds when each route was last run here.
	served map[string]time.Time
	// blocked holds when a call last found no instance of its service.
	blocked map[call]time.Time
}

// call is a kind of call that runs make.
type call struct {
	service, route string
}

func newDeep() *deep {
	return &deep{m: map[string]map[call]time.Time{}, served: map[string]time.Time{}, blocked: map[call]time.Time{}}
}

// called notes that a run of a route made a call.
func (d *deep) called(by string, c call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.m[by] == nil {
		d.m[by] = map[call]time.Time{}
	}
	d.m[by][c] = now
}

// block notes that a call found no instance of its service.
func (d *deep) block(c call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked[c] = now
}

// runs notes that a run of a route began.
func (d *deep) runs(by string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served[by] = now
}

// levels returns the level of each route that was run here of late: own, or
// the strictest among the calls that its runs make.
func (d *deep) levels(own action.Level, t *route.Table, now time.Time) map[string]action.Level {
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

// levelOf returns the strictest level among the calls that runs of a route
// make.
func (d *deep) levelOf(by string, t *route.Table, now time.Time) action.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.level(by, t, now)
}

// level returns the strictest level among the calls that runs of a route
// make; d.mu is held.
func (d *deep) level(by string, t *route.Table, now time.Time) action.Level {
	level := action.Open
	for c, at := range d.m[by] {
		if now.Sub(at) > deepKeep {
			delete(d.m[by], c)
			continue
		}
		if now.Sub(d.blocked[c]) < blockedFor {
			// No run of the route could end well.
			return 0
		}
		level = min(level, t.Level(c.service, c.route))
	}
	return level
}

// parentID returns the ID of the request whose run made the request with the
// given ID, empty when the ID does not say. Backend servers put the ID of the
// run before that of the call, with a dot between.
func parentID(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return ""
	}
	return id[:i]
}

// inherit gives a call of the backend server the importance of the run that
// made it, and its deadline. A call whose run is not known is treated as a
// caller's.
func (f *Front) inherit(r *request) {
	run := f.runs.find(parentID(r.id))
	if run == nil {
		return
	}
	r.own = true
	r.key = run.key
	r.again = run.again
	if run.deadline.Before(r.deadline) {
		r.deadline = run.deadline
	}
	f.deep.called(run.route.Name, call{service: r.service, route: r.route.Name}, r.arrived)
}
