package allow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
)

// callTree runs a random call graph: each run makes downstream calls with retries, and some replies
// are lost.
type callTree struct {
	t     *rapid.T
	costs *allow.CostEstimator
	runs  uint32
}

func (c *callTree) run(depth int, allowance uint32) (unspent uint32) {
	c.runs++
	acc := allow.NewAccount(action.ID{1}, allowance-1)
	calls := rapid.IntRange(0, 3).Draw(c.t, "calls")
	for range calls {
		if depth < 6 {
			c.call(depth, acc)
		}
	}
	return acc.Close()
}

func (c *callTree) call(depth int, acc *allow.Account) {
	method := rapid.SampledFrom([]string{"a", "b"}).Draw(c.t, "method")
	for range rapid.IntRange(1, 3).Draw(c.t, "attempts") {
		share := acc.Take(c.costs.Share(method, acc.Remaining()))
		if share == 0 {
			return
		}
		unspent := c.run(depth+1, share)
		if rapid.Bool().Draw(c.t, "lost") {
			unspent = 0
		}
		acc.Return(share, unspent)
		c.costs.Observe(method, share, share-unspent, false)
	}
}

func TestRunsNeverExceedTheAllowance(t *testing.T) {
	costs := allow.NewCostEstimator()
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.Uint32Range(1, 40).Draw(t, "allowance")
		c := &callTree{t: t, costs: costs}
		unspent := c.run(0, allowance)
		if c.runs+unspent > allowance {
			t.Fatalf("%d runs and %d unspent of an allowance of %d", c.runs, unspent, allowance)
		}
	})
}

func TestExhaustedShareGrows(t *testing.T) {
	e := allow.NewCostEstimator()
	e.Observe("m", 3, 3, false)
	if got := e.Share("m", 100); got != 5 {
		t.Fatalf("share after a cost of 3 is %d, want 3 and the margin of 2", got)
	}
	e.Observe("m", 5, 5, true)
	if got := e.Share("m", 100); got < 10 {
		t.Fatalf("share after an exhausted share of 5 is %d, want at least 10", got)
	}
}

func TestRetriesAreBoundedByAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := allow.NewBudget(allow.DefaultRatio, allow.DefaultMinRetries, time.Now)
		const minRetries = 20
		attempts, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ok") {
				b.RecordAttempt()
				attempts++
			} else if b.AllowRetry(0) {
				retries++
			}
		}
		if float64(retries) > minRetries+0.1*float64(attempts)+1 {
			t.Fatalf("%d retries for %d attempts", retries, attempts)
		}
	})
}

func TestActionsShareOneAccountOverResends(t *testing.T) {
	now := time.Now()
	cache := allow.NewAccountCache(time.Minute, func() time.Time { return now })
	id := action.NewID()
	cache.Account(id, 10).Take(4)
	now = now.Add(61 * time.Second)
	if remaining := cache.Account(id, 10).Remaining(); remaining != 6 {
		t.Fatalf("%d runs remain after one generation, want 6", remaining)
	}
	now = now.Add(61 * time.Second)
	cache.Account(action.NewID(), 1)
	now = now.Add(61 * time.Second)
	if remaining := cache.Account(id, 10).Remaining(); remaining != 10 {
		t.Fatalf("%d runs remain of an expired action, want a new account of 10", remaining)
	}
}

// All servers of a service reject half of their calls and the budget has a retry for one call in
// five. The most important actions must get all the retries that they need, instead of all actions
// too few.
func TestShortBudgetServesTheMostImportantKeys(t *testing.T) {
	const keys, rounds, calls, minRetries, interval = 20, 4000, 4, 12, 2 * time.Millisecond
	now := time.Unix(1000, 0)
	b := allow.NewBudget(0.17, minRetries, func() time.Time { return now })
	rnd := rand.New(rand.NewPCG(1, 1))
	completed := make([]int, keys)
	attempts, retries := 0, 0
	for n := range keys * rounds {
		now = now.Add(interval)
		k := n % keys
		key := action.Key(k) << 16 * 7 / keys
		done := 0
		for range calls {
			b.RecordAttempt()
			attempts++
			ok := rnd.IntN(2) == 0
			for !ok && b.AllowRetry(key) {
				retries++
				ok = rnd.IntN(2) == 0
			}
			if !ok {
				break
			}
			done++
		}
		if done == calls && n > keys*rounds/4 {
			completed[k]++
		}
	}
	if float64(retries) > 0.17*float64(attempts)+minRetries {
		t.Errorf("%d retries for %d calls", retries, attempts)
	}
	perKey := float64(rounds) * 3 / 4
	if best, worst := float64(completed[0])/perKey, float64(completed[keys-1])/perKey; best < 0.8 || worst > 0.2 {
		t.Errorf("the most important key succeeds in %.2f, the least in %.2f: %v", best, worst, completed)
	}
}

// history counts the attempts and the retries of a service in intervals of 100 ms.
type history struct {
	attempts, retries []int
}

// maxExcess returns the maximum over all 10 s windows of the retries beyond what the attempts of
// that window, or of one that began 5 or 10 s earlier, earn.
func (h history) maxExcess(ratio, minRetries float64) float64 {
	sum := func(list []int, end int) int {
		n := 0
		for i := max(0, end-100); i < end; i++ {
			n += list[i]
		}
		return n
	}
	worst := -minRetries
	for end := 100; end <= len(h.attempts); end++ {
		earning := max(sum(h.attempts, end), sum(h.attempts, max(0, end-50)), sum(h.attempts, max(0, end-100)))
		worst = max(worst, float64(sum(h.retries, end))-ratio*float64(earning)-minRetries)
	}
	return worst
}

// Several daemons, each with its part of the traffic and of minRetries, stay within the total
// budget whatever fails and however the traffic changes.
func TestBudgetsOfAFleetHoldTogether(t *testing.T) {
	const ratio, minRetries = 0.2, 49
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 6).Draw(t, "daemons")
		budgets := make([]*allow.Budget, n)
		for i := range budgets {
			budgets[i] = allow.NewBudget(allow.RatioSafetyFactor*ratio, minRetries/float64(n), func() time.Time { return now })
		}
		var h history
		rate, fails := 20, 0
		for i := range 400 {
			if i%40 == 0 {
				rate = rapid.IntRange(1, 30).Draw(t, "rate")
				fails = rapid.IntRange(0, 3).Draw(t, "fails")
			}
			now = now.Add(100 * time.Millisecond)
			h.attempts, h.retries = append(h.attempts, 0), append(h.retries, 0)
			for k := range rate {
				b := budgets[k%n]
				b.RecordAttempt()
				h.attempts[i]++
				for range fails {
					if b.AllowRetry(action.Key(k << 13)) {
						h.retries[i]++
					}
				}
			}
		}
		if excess := h.maxExcess(ratio, minRetries+1); excess > 0 {
			t.Fatalf("%.0f retries above the budget", excess)
		}
	})
}

// After 30 s without failures all servers of a service reject more than half of their calls for 8.5
// s. A payment makes eight calls, a view four. The retries earned before the fault must go to
// payments, and to the same ones.
func TestShortFaultUsesRetriesEarnedBefore(t *testing.T) {
	const ratio, minRetries, fault = 0.2, 3.0, 85
	now := time.Unix(1000, 0)
	b := allow.NewBudget(allow.RatioSafetyFactor*ratio, minRetries, func() time.Time { return now })
	rnd := rand.New(rand.NewPCG(3, 4))
	var h history
	served, requested := [3]int{}, [3]int{}
	for i := range 300 + fault {
		h.attempts, h.retries = append(h.attempts, 0), append(h.retries, 0)
		for k := range 40 {
			now = now.Add(100 * time.Millisecond / 40)
			rank, calls := uint32(2), 4
			if k%4 == 0 {
				rank, calls = 0, 8
			}
			key := action.KeyOf(rank, action.NewID())
			ok := true
			for c := 0; c < calls && ok; c++ {
				b.RecordAttempt()
				h.attempts[i]++
				ok = i < 300 || rnd.Float64() > 0.55
				for !ok && b.AllowRetry(key) {
					h.retries[i]++
					ok = rnd.Float64() > 0.55
				}
			}
			if i >= 300 {
				requested[rank]++
				if ok {
					served[rank]++
				}
			}
		}
	}
	if excess := h.maxExcess(ratio, minRetries+1); excess > 0 {
		t.Errorf("%.0f retries above the budget", excess)
	}
	// 1.22 retries for each of eight calls make a payment whole.
	allowed := allow.RatioSafetyFactor * ratio * 100 * 200
	// A payment needs 1.22 retries for each of its eight calls to succeed.
	affordable := allowed / (8 * 0.55 / 0.45)
	t.Logf("payments: %d of %d, the budget is enough for %.0f; views: %d of %d", served[0], requested[0], affordable, served[2], requested[2])
	if float64(served[0]) < 0.7*affordable {
		t.Errorf("%d payments succeeded, the budget is enough for %.0f", served[0], affordable)
	}
}

// Three of ten responses of a service are lost for 30 s, and all its requests are of one class. The
// class must be able to use the budget.
func TestBudgetOfOneClassIsUsed(t *testing.T) {
	const ratio, minRetries = 0.2, 3.0
	for rank := range uint32(3) {
		now := time.Unix(1000, 0)
		b := allow.NewBudget(allow.RatioSafetyFactor*ratio, minRetries, func() time.Time { return now })
		rnd := rand.New(rand.NewPCG(5, 6))
		attempts, retries := 0, 0
		for i := range 3000 {
			now = now.Add(10 * time.Millisecond)
			b.RecordAttempt()
			attempts++
			key := action.KeyOf(rank, action.NewID())
			for rnd.Float64() < 0.3 && b.AllowRetry(key) {
				if i >= 1500 {
					retries++
				}
			}
		}
		allowed := allow.RatioSafetyFactor * ratio * float64(attempts) / 2
		t.Logf("rank %d: %d retries of %.0f allowed", rank, retries, allowed)
		if float64(retries) < 0.6*allowed {
			t.Errorf("rank %d: %d retries of %.0f allowed", rank, retries, allowed)
		}
	}
}

// BenchmarkBudgetSlot measures the update of a budget, which happens ten times per second.
func BenchmarkBudgetSlot(b *testing.B) {
	now := time.Unix(1000, 0)
	budget := allow.NewBudget(0.2, 10, func() time.Time { return now })
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		budget.RecordAttempt()
	}
}
