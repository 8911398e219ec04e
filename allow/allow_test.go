package allow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
)

// callTree runs one call of a random chain: it spends a run, makes deeper calls
// with retries, and loses some replies.
type callTree struct {
	t      *rapid.T
	shares *allow.CostEstimator
	runs   uint32
}

func (c *callTree) run(depth int, given uint32) (unspent uint32) {
	c.runs++
	acc := allow.NewAccount(action.ID{1}, given-1)
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
		share := acc.Take(c.shares.Share(method, acc.Remaining()))
		if share == 0 {
			return
		}
		unspent := c.run(depth+1, share)
		if rapid.Bool().Draw(c.t, "lost") {
			unspent = 0
		}
		acc.Return(share, unspent)
		c.shares.Observe(method, share, share-unspent, false)
	}
}

func TestRunsNeverExceedTheAllowance(t *testing.T) {
	shares := allow.NewCostEstimator()
	rapid.Check(t, func(t *rapid.T) {
		given := rapid.Uint32Range(1, 40).Draw(t, "allowance")
		c := &callTree{t: t, shares: shares}
		unspent := c.run(0, given)
		if c.runs+unspent > given {
			t.Fatalf("%d runs and %d unspent of an allowance of %d", c.runs, unspent, given)
		}
	})
}

func TestStarvedSharesGrow(t *testing.T) {
	s := allow.NewCostEstimator()
	s.Observe("m", 3, 3, false)
	if got := s.Share("m", 100); got != 5 {
		t.Fatalf("share after a spent 3 is %d, want 3 and the margin of 2", got)
	}
	s.Observe("m", 5, 5, true)
	if got := s.Share("m", 100); got < 10 {
		t.Fatalf("share after starving with 5 is %d, want at least 10", got)
	}
}

func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := allow.NewBudget(allow.DefaultRatio, allow.DefaultMinRetries, time.Now)
		const initial = 20
		first, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ok") {
				b.RecordAttempt()
				first++
			} else if b.AllowRetry(0) {
				retries++
			}
		}
		if float64(retries) > initial+0.1*float64(first)+1 {
			t.Fatalf("%d retries for %d successes", retries, first)
		}
	})
}

func TestActionsShareOneAccountOverResends(t *testing.T) {
	now := time.Now()
	m := allow.NewAccountCache(time.Minute, func() time.Time { return now })
	id := action.NewID()
	m.Account(id, 10).Take(4)
	now = now.Add(61 * time.Second)
	if left := m.Account(id, 10).Remaining(); left != 6 {
		t.Fatalf("%d left after one generation, want 6", left)
	}
	now = now.Add(61 * time.Second)
	m.Account(action.NewID(), 1)
	now = now.Add(61 * time.Second)
	if left := m.Account(id, 10).Remaining(); left != 10 {
		t.Fatalf("%d left of a forgotten action, want a new 10", left)
	}
}

// All servers of a service refuse half of their calls and the budget has a
// retry for one call in five: the most important actions get all that they
// need, in place of all actions too few.
func TestShortBudgetIsKeptForTheSameKeys(t *testing.T) {
	const keys, rounds, calls, saved, gap = 20, 4000, 4, 12, 2 * time.Millisecond
	now := time.Unix(1000, 0)
	b := allow.NewBudget(0.17, saved, func() time.Time { return now })
	rnd := rand.New(rand.NewPCG(1, 1))
	whole := make([]int, keys)
	first, retries := 0, 0
	for n := range keys * rounds {
		now = now.Add(gap)
		k := n % keys
		key := action.Key(k) << 16 * 7 / keys
		done := 0
		for range calls {
			b.RecordAttempt()
			first++
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
			whole[k]++
		}
	}
	if float64(retries) > 0.17*float64(first)+saved {
		t.Errorf("%d retries for %d calls", retries, first)
	}
	per := float64(rounds) * 3 / 4
	if best, worst := float64(whole[0])/per, float64(whole[keys-1])/per; best < 0.8 || worst > 0.2 {
		t.Errorf("the most important key succeeds in %.2f, the least in %.2f: %v", best, worst, whole)
	}
}

// history counts the attempts and the retries of a service by tenths of a second.
type history struct {
	attempts, retries []int
}

// maxExcess reports the window of ten seconds with the most retries above what the
// attempts of that window, or of one that began five or ten seconds earlier,
// entitle to.
func (s history) maxExcess(ratio, saved float64) float64 {
	sum := func(list []int, end int) int {
		n := 0
		for i := max(0, end-100); i < end; i++ {
			n += list[i]
		}
		return n
	}
	worst := -saved
	for end := 100; end <= len(s.attempts); end++ {
		most := max(sum(s.attempts, end), sum(s.attempts, max(0, end-50)), sum(s.attempts, max(0, end-100)))
		worst = max(worst, float64(sum(s.retries, end))-ratio*float64(most)-saved)
	}
	return worst
}

// A few daemons with their own shares of the traffic and of the saved retries
// stay within the budget of all, whatever fails and however the traffic moves.
func TestBudgetsOfAFleetHoldTogether(t *testing.T) {
	const ratio, saved = 0.2, 49
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 6).Draw(t, "daemons")
		budgets := make([]*allow.Budget, n)
		for i := range budgets {
			budgets[i] = allow.NewBudget(allow.RatioSafetyFactor*ratio, saved/float64(n), func() time.Time { return now })
		}
		var s history
		rate, fails := 20, 0
		for i := range 400 {
			if i%40 == 0 {
				rate = rapid.IntRange(1, 30).Draw(t, "rate")
				fails = rapid.IntRange(0, 3).Draw(t, "fails")
			}
			now = now.Add(100 * time.Millisecond)
			s.attempts, s.retries = append(s.attempts, 0), append(s.retries, 0)
			for k := range rate {
				b := budgets[k%n]
				b.RecordAttempt()
				s.attempts[i]++
				for range fails {
					if b.AllowRetry(action.Key(k << 13)) {
						s.retries[i]++
					}
				}
			}
		}
		if over := s.maxExcess(ratio, saved+1); over > 0 {
			t.Fatalf("%.0f retries above the budget", over)
		}
	})
}

// After half a minute of calm all servers of a service refuse more than half of
// their calls for eight seconds. Payments make eight calls each, views four. The
// retries that the calm has earned go to payments, and to the same ones.
func TestFaultOfSecondsUsesWhatWasEarned(t *testing.T) {
	const ratio, saved, fault = 0.2, 3.0, 85
	now := time.Unix(1000, 0)
	b := allow.NewBudget(allow.RatioSafetyFactor*ratio, saved, func() time.Time { return now })
	rnd := rand.New(rand.NewPCG(3, 4))
	var s history
	served, asked := [3]int{}, [3]int{}
	for i := range 300 + fault {
		s.attempts, s.retries = append(s.attempts, 0), append(s.retries, 0)
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
				s.attempts[i]++
				ok = i < 300 || rnd.Float64() > 0.55
				for !ok && b.AllowRetry(key) {
					s.retries[i]++
					ok = rnd.Float64() > 0.55
				}
			}
			if i >= 300 {
				asked[rank]++
				if ok {
					served[rank]++
				}
			}
		}
	}
	if over := s.maxExcess(ratio, saved+1); over > 0 {
		t.Errorf("%.0f retries above the budget", over)
	}
	// 1.22 retries for each of eight calls make a payment whole.
	entitled := allow.RatioSafetyFactor * ratio * 100 * 200
	could := entitled / (8 * 0.55 / 0.45)
	t.Logf("payments: %d of %d, the budget is enough for %.0f; views: %d of %d", served[0], asked[0], could, served[2], asked[2])
	if float64(served[0]) < 0.7*could {
		t.Errorf("%d payments were whole, the budget is enough for %.0f", served[0], could)
	}
}

// Three of ten answers of one service are lost for half a minute, and all its
// requests are of one class. What the budget has is used for them.
func TestBudgetOfOneClassIsUsed(t *testing.T) {
	const ratio, saved = 0.2, 3.0
	for rank := range uint32(3) {
		now := time.Unix(1000, 0)
		b := allow.NewBudget(allow.RatioSafetyFactor*ratio, saved, func() time.Time { return now })
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
		entitled := allow.RatioSafetyFactor * ratio * float64(attempts) / 2
		t.Logf("rank %d: %d retries, entitled to %.0f", rank, retries, entitled)
		if float64(retries) < 0.6*entitled {
			t.Errorf("rank %d: %d retries, entitled to %.0f", rank, retries, entitled)
		}
	}
}

// BenchmarkBudgetSlot measures what a budget costs ten times a second.
func BenchmarkBudgetSlot(b *testing.B) {
	now := time.Unix(1000, 0)
	bud := allow.NewBudget(0.2, 10, func() time.Time { return now })
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		bud.RecordAttempt()
	}
}
