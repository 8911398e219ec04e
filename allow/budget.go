package allow

import (
	"math"
	"sync"
	"time"

	"sycamorespread.dev/action"
)

const (
	// DefaultRatio is the number of retries that one attempt earns.
	DefaultRatio = 0.1
	// DefaultSaved is the number of retries that need not be earned.
	DefaultSaved = 20
	// RatioUsed is the part of the fleet's ratio that is spent; the rest covers what is in flight when a window ends
	// and daemons whose traffic changes at different times.
	RatioUsed = 0.9
	// slotTime is the time that one slot of the record covers, and between two steps of the level.
	slotTime = 100 * time.Millisecond
	// windowSlots is the length of the window in which retries are bounded: 10 s.
	windowSlots = 100
	// recordSlots covers the window and the one before it.
	recordSlots = 2 * windowSlots
	// askSlots is how long a class counts as one that asks for retries: 2 s.
	askSlots = 20
	// amplePart is the part of the budget that must be left for all keys to spend, as at single failures.
	amplePart = 0.9
	// levelSlope is the part of the keys of the classes that ask which may spend when the whole budget is left, were it
	// not ample.
	levelSlope = 0.75
)

// slot counts the attempts and the retries of one slotTime.
type slot struct {
	attempts, retries int
}

// Budget limits the retries toward one service to a part of the attempts. The
// retries of any ten seconds are bounded by the attempts of the same ten
// seconds, or of ten seconds that began five or ten seconds earlier when those
// were more: when calls fail, fewer follow each other, and what a fault of some
// seconds needs was earned before it.
//
// When the budget does not suffice, it is kept for the most important keys:
// the same actions then get all the retries that they need, rather than all
// actions too few. It is safe for concurrent use.
type Budget struct {
	ratio float64
	now   func() time.Time

	mu    sync.Mutex
	saved float64
	// slots is a ring; at is the time of the newest slot.
	slots  [recordSlots]slot
	newest int
	at     time.Time
	// entitled is the number of retries of the window, left what is not spent of it.
	entitled, left float64
	// turns counts the slots; asked is the turn in which each class last asked for a retry, counted from 1.
	turns int
	asked [action.MaxRank + 1]int
}

// NewBudget returns a budget of ratio for each attempt of a window and of
// saved beside.
func NewBudget(ratio, saved float64, now func() time.Time) *Budget {
	return &Budget{ratio: ratio, saved: saved, now: now, at: now(), entitled: saved, left: saved, turns: 1}
}

// Earn records an attempt that entitles to retries.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	b.slots[b.newest].attempts++
}

func (b *Budget) save(saved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entitled += saved - b.saved
	b.left += saved - b.saved
	b.saved = saved
}

// Spend takes one retry for an action with the key and reports whether there
// was one.
func (b *Budget) Spend(k action.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	b.asked[k.Rank()] = b.turns
	if b.left < 1 || float64(k) > b.level() {
		return false
	}
	b.take()
	return true
}

// level returns the least important key that may spend: of the classes that
// asked of late the smaller a part the less is left, the most important first.
// The root keeps the part large until little is left, so that a fault that lasts
// is met with most of the budget.
func (b *Budget) level() float64 {
	const classKeys = (action.MaxKey + 1) / (action.MaxRank + 1)
	part := max(0, b.left/b.entitled)
	if part > amplePart {
		return float64(action.MaxKey)
	}
	first, end := 0, 0
	for class, turn := range b.asked {
		if turn == 0 || b.turns-turn > askSlots {
			continue
		}
		if end == 0 {
			first = class
		}
		end = class + 1
	}
	return float64(classKeys) * (float64(first) + levelSlope*math.Sqrt(part)*float64(end-first))
}

// Charge takes one retry that is sent in any case, as by a run that is itself
// a retry.
func (b *Budget) Charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	b.take()
}

func (b *Budget) take() {
	b.slots[b.newest].retries++
	b.left--
}

// turn opens the slots that time has reached; b.mu is held.
func (b *Budget) turn() {
	behind := int(b.now().Sub(b.at) / slotTime)
	if behind <= 0 {
		return
	}
	for range min(behind, recordSlots) {
		b.newest = (b.newest + 1) % recordSlots
		b.slots[b.newest] = slot{}
	}
	b.at = b.at.Add(time.Duration(behind) * slotTime)
	b.turns += behind
	b.entitled = b.saved + b.ratio*float64(b.attempts())
	b.left = b.entitled - float64(b.spent())
}

// spent returns the retries of the present window.
func (b *Budget) spent() int {
	n := 0
	for i := range windowSlots {
		n += b.slots[(b.newest-i+recordSlots)%recordSlots].retries
	}
	return n
}

// attempts returns the attempts that entitle to the retries of the present
// window, and go on to do so until it has passed: of each window that still
// contains it, the fullest of the window itself, the one half a window before
// and the one before, as far as they are known now; and of these the least.
func (b *Budget) attempts() int {
	var until [recordSlots + 1]int
	for i := range recordSlots {
		until[i+1] = until[i] + b.slots[(b.newest+1+i)%recordSlots].attempts
	}
	between := func(from, to int) int {
		return until[min(to, recordSlots)] - until[max(from, 0)]
	}
	least := until[recordSlots]
	for later := range windowSlots + 1 {
		end := recordSlots + later
		most := max(between(end-windowSlots, end), between(end-windowSlots*3/2, end-windowSlots/2), between(end-2*windowSlots, end-windowSlots))
		least = min(least, most)
	}
	return least
}

// Budgets keeps one Budget for each service.
type Budgets struct {
	ratio float64
	now   func() time.Time

	mu    sync.Mutex
	saved float64
	m     map[string]*Budget
}

// NewBudgets returns an empty set of budgets of ratio for each attempt and of
// saved beside.
func NewBudgets(ratio, saved float64, now func() time.Time) *Budgets {
	return &Budgets{ratio: ratio, saved: saved, now: now, m: make(map[string]*Budget)}
}

// Save sets how many retries of each budget need not be earned.
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
		bud = NewBudget(b.ratio, b.saved, b.now)
		b.m[service] = bud
	}
	return bud
}
