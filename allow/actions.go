package allow

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

// maxActions bounds the remembered actions of an entry.
const maxActions = 200_000

// Actions is the memory of an entry for the allowance of recent actions, so
// that resends through the same entry share one allowance. It holds two
// generations and drops the older one every Keep.
type Actions struct {
	// Keep is the shortest time for which an action is remembered.
	Keep time.Duration

	mu      sync.Mutex
	now     func() time.Time
	turned  time.Time
	current map[action.ID]*Account
	last    map[action.ID]*Account
}

// NewActions returns an empty memory that reads the time from now.
func NewActions(keep time.Duration, now func() time.Time) *Actions {
	return &Actions{Keep: keep, now: now, turned: now(), current: make(map[action.ID]*Account)}
}

// Account returns the account of an action, new with n runs when the action
// is not remembered.
func (a *Actions) Account(id action.ID, n uint32) *Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn()
	if acc, ok := a.current[id]; ok {
		return acc
	}
	acc, ok := a.last[id]
	if !ok {
		acc = NewAccount(id, n)
	}
	a.current[id] = acc
	return acc
}

// Len returns the number of remembered actions.
func (a *Actions) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.current) + len(a.last)
}

func (a *Actions) turn() {
	t := a.now()
	if t.Sub(a.turned) < a.Keep && len(a.current) < maxActions/2 {
		return
	}
	a.turned = t
	a.last = a.current
	a.current = make(map[action.ID]*Account)
}
