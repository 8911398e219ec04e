package front

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

// levelsTTL is the lifetime of the cached levels. They are cached because computing them visits
// every candidate instance of every downstream service. The TTL is less than half of the gate's
// tick interval.
const levelsTTL = 20 * time.Millisecond

// levels holds the admission levels of the routes that an instance serves. Its map must not be
// changed.
type levels struct {
	byRoute map[string]action.Level
	// text is the encoded map for other Fronts.
	text string
}

// levelCache holds the last computed levels of this instance. They are recomputed after levelsTTL or
// when the level of the gate changes.
type levelCache struct {
	mu         sync.Mutex
	computedAt time.Time
	gateLevel  action.Level
	cached     levels
}

// routeLevels returns the levels of the routes that ran here recently.
func (f *Front) routeLevels() levels {
	gateLevel, now := f.Gate.Level(), f.Now()
	c := &f.levelCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached.byRoute == nil || gateLevel != c.gateLevel || now.Sub(c.computedAt) >= levelsTTL {
		byRoute := f.dependencies.Levels(gateLevel, f.Table, now)
		c.cached = levels{byRoute: byRoute, text: encodeLevels(byRoute)}
		c.gateLevel, c.computedAt = gateLevel, now
	}
	return c.cached
}
