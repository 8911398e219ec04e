package allow

import (
	"math"
	"sync"
	"time"

	"sycamorespread.dev/action"
)

const (
	// DefaultRatio is the default number of retries per attempt.
	DefaultRatio = 0.1
	// DefaultMinRetries is the default number of retries per window that are allowed without any
	// attempts.
	DefaultMinRetries = 20
	// RatioSafetyFactor is the fraction of the configured retry ratio that a daemon uses. The rest
	// covers retries in flight at the end of a window and daemons whose traffic changes at
	// different times.
	RatioSafetyFactor = 0.9
	// bucketInterval is the length of one bucket and the time between two updates of the budget.
	bucketInterval = 100 * time.Millisecond
	// windowBuckets is the length of the window in which retries are bounded: 10 s.
	windowBuckets = 100
	// historyBuckets covers the window and the one before it.
	historyBuckets = 2 * windowBuckets
	// activeBuckets is how long a class counts as requesting retries after its last request: 2 s.
	activeBuckets = 20
	// ampleRatio is the remaining fraction of the budget above which all keys may retry, as during
	// isolated failures.
	ampleRatio = 0.9
	// thresholdSlope is the fraction of the keys of the requesting classes that the threshold would
	// admit at a full budget if that were not ample.
	thresholdSlope = 0.75
)

// bucket counts the attempts and the retries of one bucketInterval.
type bucket struct {
	attempts, retries int
}

// Budget limits the retries to one service to a ratio of the attempts. The
// retries of any 10 s window are bounded by the attempts of the same window, or
// of the 10 s window that began 5 or 10 s earlier if those were more: failed
// calls are followed by fewer calls, so the retries that a fault of a few seconds
// needs are covered by the attempts before it.
//
// A budget that is too small for all retries is reserved for the most important
// keys: the same actions then get all the retries that they need, instead of
// all actions too few. It is safe for concurrent use.
type Budget struct {
	ratio float64
	now   func() time.Time

	mu         sync.Mutex
	minRetries float64
	// buckets is a ring; newest is the index of the newest bucket and newestAt its start.
	buckets  [historyBuckets]bucket
	newest   int
	newestAt time.Time
	// allowed is the number of retries in the window, remaining the part of it that is not spent.
	allowed, remaining float64
	// seq is the number of the newest bucket, counted from 1; lastRequest is the number of the
	// bucket in which each class last requested a retry, or 0.
	seq         int
	lastRequest [action.MaxRank + 1]int
}

// NewBudget returns a budget of minRetries plus ratio retries for each attempt in a window.
func NewBudget(ratio, minRetries float64, now func() time.Time) *Budget {
	return &Budget{ratio: ratio, minRetries: minRetries, now: now, newestAt: now(), allowed: minRetries, remaining: minRetries, seq: 1}
}

// RecordAttempt records an attempt that earns retries.
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

// AllowRetry reports whether an action with the key may retry, and if so spends one retry.
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

// threshold returns the least important key that may retry. The smaller the remaining fraction of
// the budget, the smaller the range of keys that may retry among the classes that requested retries
// recently, the most important first. The square root keeps the range large until little remains,
// so that a lasting fault is met with most of the budget.
func (b *Budget) threshold() float64 {
	const keysPerClass = (action.MaxKey + 1) / (action.MaxRank + 1)
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
	return float64(keysPerClass) * (float64(first) + thresholdSlope*math.Sqrt(ratio)*float64(end-first))
}

// RecordRetry spends one retry that is sent in any case, such as by a run that is itself a retry.
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

// advance opens the buckets up to the current time; b.mu is held.
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

// retries returns the number of retries in the current window.
func (b *Budget) retries() int {
	n := 0
	for i := range windowBuckets {
		n += b.buckets[(b.newest-i+historyBuckets)%historyBuckets].retries
	}
	return n
}

// earningAttempts returns the number of attempts that earn the retries of the current window and
// will keep earning them until all of its buckets have left the window. For each window that still
// contains some of them it takes the maximum of the attempts known now in that window, in the one
// half a window before and in the one before; the result is the minimum of these.
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

// Budgets holds one Budget for each service.
type Budgets struct {
	ratio float64
	now   func() time.Time

	mu         sync.Mutex
	minRetries float64
	budgets    map[string]*Budget
}

// NewBudgets returns an empty set of budgets of minRetries plus ratio retries for each attempt in a
// window.
func NewBudgets(ratio, minRetries float64, now func() time.Time) *Budgets {
	return &Budgets{ratio: ratio, minRetries: minRetries, now: now, budgets: make(map[string]*Budget)}
}

// SetMinRetries sets the number of retries per window that each budget allows without any attempts.
func (b *Budgets) SetMinRetries(minRetries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minRetries = minRetries
	for _, budget := range b.budgets {
		budget.setMinRetries(minRetries)
	}
}

// Get returns the budget of a service and creates it on first use.
func (b *Budgets) Get(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.ratio, b.minRetries, b.now)
		b.budgets[service] = budget
	}
	return budget
}
