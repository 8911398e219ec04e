package front

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

// levelsTTL is the time for which the levels of all routes are told unchanged, less than half of the time between
// two ticks of a gate: to compute them looks at each candidate of each deeper service.
const levelsTTL = 20 * time.Millisecond

// levels holds the levels of the routes that an instance serves. Its map must
// not be changed.
type levels struct {
	byRoute map[string]action.Level
	// text is the form of the map between Fronts.
	text string
}

// levelCache keeps the levels that this instance told last.
type levelCache struct {
	mu         sync.Mutex
	computedAt time.Time
	gateLevel  action.Level
	cached     levels
}

// routeLevels returns the levels of the routes that were run here of late.
func (f *Front) routeLevels() levels {
	gateLevel, now := f.Gate.Level(), f.Now()
	t := &f.levelCache
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cached.byRoute == nil || gateLevel != t.gateLevel || now.Sub(t.computedAt) >= levelsTTL {
		m := f.dependencies.Levels(gateLevel, f.Table, now)
		t.cached = levels{byRoute: m, text: encodeLevels(m)}
		t.gateLevel, t.computedAt = gateLevel, now
	}
	return t.cached
}
