package allow

import (
	"sync"
	"time"

	"sycamorespread.dev/action"
)

// maxAccounts bounds the number of cached accounts.
const maxAccounts = 200_000

// AccountCache holds the accounts of recent actions at an entry, so that resends through the same
// entry share one allowance. It has two generations and drops the older one every TTL.
type AccountCache struct {
	// TTL is the minimum time for which an action is cached.
	TTL time.Duration

	mu        sync.Mutex
	now       func() time.Time
	rotatedAt time.Time
	current   map[action.ID]*Account
	previous  map[action.ID]*Account
}

// NewAccountCache returns an empty cache.
func NewAccountCache(ttl time.Duration, now func() time.Time) *AccountCache {
	return &AccountCache{TTL: ttl, now: now, rotatedAt: now(), current: make(map[action.ID]*Account)}
}

// Account returns the account of an action, or a new one of n runs if the action is not cached.
func (a *AccountCache) Account(id action.ID, n uint32) *Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate()
	if acc, ok := a.current[id]; ok {
		return acc
	}
	acc, ok := a.previous[id]
	if !ok {
		acc = NewAccount(id, n)
	}
	a.current[id] = acc
	return acc
}

// Len returns the number of cached accounts.
func (a *AccountCache) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.current) + len(a.previous)
}

func (a *AccountCache) rotate() {
	t := a.now()
	if t.Sub(a.rotatedAt) < a.TTL && len(a.current) < maxAccounts/2 {
		return
	}
	a.rotatedAt = t
	a.previous = a.current
	a.current = make(map[action.ID]*Account)
}
