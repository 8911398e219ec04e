package allow

import "sync"

const (
	// budgetRatio is the number of retries earned by one first attempt that succeeds.
	budgetRatio = 0.1
	// budgetCap is the largest number of saved retries.
	budgetCap = 20.0
)

// Budget limits the retries toward one service to a part of the successes.
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: budgetCap}
}

// Earn records an attempt that succeeded.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetCap)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets keeps one Budget for each service.
type Budgets struct {
	mu sync.Mutex
	m  map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets {
	return &Budgets{m: make(map[string]*Budget)}
}

// Of returns the budget of a service and makes it when it is new.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	bud, ok := b.m[service]
	if !ok {
		bud = NewBudget()
		b.m[service] = bud
	}
	return bud
}
