package allow

import (
	"sync"

	"sycamorespread.dev/action"
)

const (
	// DefaultRatio is the number of retries that one attempt earns.
	DefaultRatio = 0.1
	// DefaultSaved is the largest number of saved retries.
	DefaultSaved = 20
	// RatioUsed is the part of the fleet's ratio that is spent; the rest covers what is in flight when a window ends.
	RatioUsed = 0.85
	// levelStep is the part of all keys by which the level opens when the budget is full.
	levelStep = 0.005
	// levelCut is the factor on the level when nothing is left.
	levelCut = 0.9
)

// Budget limits the retries toward one service to a part of the attempts that
// earn some. When it does not suffice, it is kept for the most important keys:
// the same actions then get all the retries that they need, rather than all
// actions too few. It is safe for concurrent use.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	saved  float64
	tokens float64
	// level is the part of all keys, the most important first, that may spend.
	level float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, saved float64) *Budget {
	return &Budget{ratio: ratio, saved: saved, tokens: saved, level: 1}
}

// Earn records an attempt that entitles to retries.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += b.ratio
	if b.tokens >= b.saved {
		b.tokens = b.saved
		b.level = min(1, b.level+levelStep)
	}
}

func (b *Budget) save(saved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = saved
	b.tokens = min(b.tokens, saved)
}

// Spend takes one retry for an action with the key and reports whether there
// was one.
func (b *Budget) Spend(k action.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(k) > b.level*float64(action.MaxKey) {
		return false
	}
	if b.tokens < 1 {
		b.level *= levelCut
		return false
	}
	b.tokens--
	return true
}

// Charge takes one retry that is sent in any case, as by a run that is itself
// a retry.
func (b *Budget) Charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens--
}

// Budgets keeps one Budget for each service.
type Budgets struct {
	ratio float64

	mu    sync.Mutex
	saved float64
	m     map[string]*Budget
}

// NewBudgets returns an empty set of budgets that earn ratio for each first
// attempt and save up to saved retries.
func NewBudgets(ratio, saved float64) *Budgets {
	return &Budgets{ratio: ratio, saved: saved, m: make(map[string]*Budget)}
}

// Save sets how many retries each budget saves.
func (b *Budgets) Save(saved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = saved
	for _, bud := range b.m {
		bud.save(saved)
	}
}

// Of returns the budget of a service and makes it when it is new.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	bud, ok := b.m[service]
	if !ok {
		bud = NewBudget(b.ratio, b.saved)
		b.m[service] = bud
	}
	return bud
}
