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
	// DefaultMinRetries is the number of retries that need not be earned.
	DefaultMinRetries = 20
	// RatioSafetyFactor is the part of the fleet's ratio that is spent; the rest covers what is in flight when a window ends
	// and daemons whose traffic changes at different times.
	RatioSafetyFactor = 0.9
	// bucketInterval is the time that one slot of the record covers, and between two steps of the level.
	bucketInterval = 100 * time.Millisecond
	// windowBuckets is the length of the window in which retries are bounded: 10 s.
	windowBuckets = 100
	// historyBuckets covers the window and the one before it.
	historyBuckets = 2 * windowBuckets
	// activeBuckets is how long a class counts as one that asks for retries: 2 s.
	activeBuckets = 20
	// ampleRatio is the part of the budget that must be left for all keys to spend, as at single failures.
	ampleRatio = 0.9
	// thresholdSlope is the part of the keys of the classes that ask which may spend when the whole budget is left, were it
	// not ample.
	thresholdSlope = 0.75
)

// bucket counts the attempts and the retries of one bucketInterval.
type bucket struct {
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

	mu         sync.Mutex
	minRetries float64
	// buckets is a ring; at is the time of the newest slot.
	buckets  [historyBuckets]bucket
	newest   int
	newestAt time.Time
	// allowed is the number of retries of the window, left what is not spent of it.
	allowed, remaining float64
	// seq counts the slots; asked is the turn in which each class last asked for a retry, counted from 1.
	seq         int
	lastRequest [action.MaxRank + 1]int
}

// NewBudget returns a budget of ratio for each attempt of a window and of
// saved beside.
func NewBudget(ratio, minRetries float64, now func() time.Time) *Budget {
	return &Budget{ratio: ratio, minRetries: minRetries, now: now, newestAt: now(), allowed: minRetries, remaining: minRetries, seq: 1}
}

// RecordAttempt records an attempt that entitles to retries.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.buckets[b.newest].attempts++
}

func (b *Budget) setMinRetries(minRetries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowed += minRetries - b.minRetries
	b.remaining += minRetries - b.minRetries
	b.minRetries = minRetries
}

// AllowRetry takes one retry for an action with the key and reports whether there
// was one.
func (b *Budget) AllowRetry(k action.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.lastRequest[k.Rank()] = b.seq
	if b.remaining < 1 || float64(k) > b.threshold() {
		return false
	}
	b.addRetry()
	return true
}

// threshold returns the least important key that may spend: of the classes that
// asked of late the smaller a part the less is left, the most important first.
// The root keeps the part large until little is left, so that a fault that lasts
// is met with most of the budget.
func (b *Budget) threshold() float64 {
	const classKeys = (action.MaxKey + 1) / (action.MaxRank + 1)
	ratio := max(0, b.remaining/b.allowed)
	if ratio > ampleRatio {
		return float64(action.MaxKey)
	}
	first, end := 0, 0
	for class, last := range b.lastRequest {
		if last == 0 || b.seq-last > activeBuckets {
			continue
		}
		if end == 0 {
			first = class
		}
		end = class + 1
	}
	return float64(classKeys) * (float64(first) + thresholdSlope*math.Sqrt(ratio)*float64(end-first))
}

// RecordRetry takes one retry that is sent in any case, as by a run that is itself
// a retry.
func (b *Budget) RecordRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.addRetry()
}

func (b *Budget) addRetry() {
	b.buckets[b.newest].retries++
	b.remaining--
}

// advance opens the slots that time has reached; b.mu is held.
func (b *Budget) advance() {
	elapsed := int(b.now().Sub(b.newestAt) / bucketInterval)
	if elapsed <= 0 {
		return
	}
	for range min(elapsed, historyBuckets) {
		b.newest = (b.newest + 1) % historyBuckets
		b.buckets[b.newest] = bucket{}
	}
	b.newestAt = b.newestAt.Add(time.Duration(elapsed) * bucketInterval)
	b.seq += elapsed
	b.allowed = b.minRetries + b.ratio*float64(b.earningAttempts())
	b.remaining = b.allowed - float64(b.retries())
}

// retries returns the retries of the present window.
func (b *Budget) retries() int {
	n := 0
	for i := range windowBuckets {
		n += b.buckets[(b.newest-i+historyBuckets)%historyBuckets].retries
	}
	return n
}

// earningAttempts returns the attempts that entitle to the retries of the present
// window, and go on to do so until it has passed: of each window that still
// contains it, the fullest of the window itself, the one half a window before
// and the one before, as far as they are known now; and of these the least.
func (b *Budget) earningAttempts() int {
	var sums [historyBuckets + 1]int
	for i := range historyBuckets {
		sums[i+1] = sums[i] + b.buckets[(b.newest+1+i)%historyBuckets].attempts
	}
	sum := func(from, to int) int {
		return sums[min(to, historyBuckets)] - sums[max(from, 0)]
	}
	minSum := sums[historyBuckets]
	for ahead := range windowBuckets + 1 {
		end := historyBuckets + ahead
		maxSum := max(sum(end-windowBuckets, end), sum(end-windowBuckets*3/2, end-windowBuckets/2), sum(end-2*windowBuckets, end-windowBuckets))
		minSum = min(minSum, maxSum)
	}
	return minSum
}

// Budgets keeps one Budget for each service.
type Budgets struct {
	ratio float64
	now   func() time.Time

	mu         sync.Mutex
	minRetries float64
	m          map[string]*Budget
}

// NewBudgets returns an empty set of budgets of ratio for each attempt and of
// saved beside.
func NewBudgets(ratio, minRetries float64, now func() time.Time) *Budgets {
	return &Budgets{ratio: ratio, minRetries: minRetries, now: now, m: make(map[string]*Budget)}
}

// SetMinRetries sets how many retries of each budget need not be earned.
func (b *Budgets) SetMinRetries(minRetries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minRetries = minRetries
	for _, bud := range b.m {
		bud.setMinRetries(minRetries)
	}
}

// Get returns the budget of a service and makes it when it is new.
func (b *Budgets) Get(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	bud, ok := b.m[service]
	if !ok {
		bud = NewBudget(b.ratio, b.minRetries, b.now)
		b.m[service] = bud
	}
	return bud
}
