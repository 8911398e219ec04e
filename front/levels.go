package front

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

// levelsEvery is the time for which the levels of all routes are told unchanged, less than half of the time between
// two ticks of a gate: to compute them looks at each candidate of each deeper service.
const levelsEvery = 20 * time.Millisecond

// levels holds the levels of the routes that an instance serves. Its map must
// not be changed.
type levels struct {
	m map[string]action.Level
	// text is the form of the map between Fronts.
	text string
}

// told keeps the levels that this instance told last.
type told struct {
	mu  sync.Mutex
	at  time.Time
	own action.Level
	l   levels
}

// routeLevels returns the levels of the routes that were run here of late.
func (f *Front) routeLevels() levels {
	own, now := f.Gate.Level(), f.Now()
	t := &f.told
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.l.m == nil || own != t.own || now.Sub(t.at) >= levelsEvery {
		m := f.deep.Levels(own, f.Table, now)
		t.l = levels{m: m, text: encodeLevels(m)}
		t.own, t.at = own, now
	}
	return t.l
}
