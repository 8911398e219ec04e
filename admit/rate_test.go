package admit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
)

// arrivals are the times at which calls were sent to a backend server with a rate
// limit, and the number of calls of each class that ran.
type arrivals struct {
	sent []time.Time
	ran  [3]int
}

// runLimited offers calls of three classes at a rate for some seconds of virtual time. change is
// called every 10 ms.
func runLimited(offered float64, duration time.Duration, change func(g *admit.Gate, elapsed time.Duration)) arrivals {
	g := admit.New(admit.Config{Slots: 200, Mode: admit.Full, Now: time.Now})
	var mu sync.Mutex
	var out arrivals
	var group errgroup.Group
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error {
		for ctx.Err() == nil {
			time.Sleep(admit.TickInterval)
			g.Tick()
		}
		return nil
	})
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Since(start) < duration; n++ {
		change(g, time.Since(start))
		rank := uint32(rnd.IntN(3))
		id := action.ID{byte(n), byte(n >> 8)}
		group.Go(func() error {
			p, err := g.Acquire(ctx, admit.Call{ID: id, Key: action.KeyOf(rank, id), Method: "get", Deadline: time.Now().Add(time.Second), QueueTimeout: 150 * time.Millisecond})
			if err != nil {
				return nil
			}
			mu.Lock()
			out.sent = append(out.sent, time.Now())
			out.ran[rank]++
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			p.Release(admit.Completed)
			return nil
		})
		time.Sleep(time.Duration(float64(time.Second) / offered))
		synctest.Wait()
	}
	cancel()
	_ = group.Wait()
	return out
}

// most returns the largest number of calls sent within a span after a time.
func (a arrivals) most(span time.Duration, after time.Time) int {
	most := 0
	for i, first := range a.sent {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range a.sent[i:] {
			if at.Sub(first) <= span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestServerGetsMoreThanItsRateLimit(t *testing.T) {
	for _, limit := range []float64{0.1, 3, 44.2, 300} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			out := runLimited(500, 12*time.Second, func(g *admit.Gate, elapsed time.Duration) {
				if elapsed >= 2*time.Second {
					g.SetRateLimit(limit)
				}
			})
			// The users allow one and a half times the limit, and 5 calls, in 4 s.
			const span = 4 * time.Second
			after := start.Add(2*time.Second + 10*time.Millisecond)
			if got, allowed := out.most(span, after), int(1.5*limit*span.Seconds())+5; got > allowed {
				t.Errorf("limit %g: %d calls in %s, allowed %d", limit, got, span, allowed)
			}
			if got, want := out.most(span, after), int(0.8*limit*span.Seconds()); got < want {
				t.Errorf("limit %g: %d calls in %s, want %d at least", limit, got, span, want)
			}
		})
	}
}

func TestRateLimitFavorsImportantCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := runLimited(300, 10*time.Second, func(g *admit.Gate, _ time.Duration) { g.SetRateLimit(120) })
		if out.ran[0] < 950 || out.ran[2] > 100 {
			t.Errorf("runs by class %v of 1000 each", out.ran)
		}
	})
}

func TestCallsWaitAfterTheRateLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		out := runLimited(300, 8*time.Second, func(g *admit.Gate, elapsed time.Duration) {
			if elapsed > 4*time.Second {
				g.EndRateLimit()
				return
			}
			g.SetRateLimit(10)
		})
		if got := out.most(time.Second, start.Add(6*time.Second)); got < 280 {
			t.Errorf("%d of 300 calls in a second after the end of the limit", got)
		}
	})
}
