package admit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
)

// faultKind is what is wrong during one phase of a test.
type faultKind int

const (
	paused faultKind = iota
	slow
	rejecting
	rejectingWithCapacity
	silentServer
	numFaultKinds
)

// phase is a fault from start to end, in time since the start of the test.
type phase struct {
	kind       faultKind
	start, end time.Duration
}

// drawPhases draws up to four faults, which may overlap, in the first twelve seconds.
func drawPhases(r *rand.Rand) []phase {
	var phases []phase
	for range 1 + r.IntN(4) {
		start := time.Second + time.Duration(r.Int64N(int64(7*time.Second)))
		length := 300*time.Millisecond + time.Duration(r.Int64N(int64(3700*time.Millisecond)))
		phases = append(phases, phase{kind: faultKind(r.IntN(int(numFaultKinds))), start: start, end: start + length})
	}
	return phases
}

// recovery offers nested calls and calls of callers to a Gate whose server has faults.
type recovery struct {
	gate   *admit.Gate
	phases []phase
	start  time.Time
	// ranks are the ranks of the calls; callersOnly omits the nested ones.
	ranks       []uint32
	callersOnly bool

	mu           sync.Mutex
	offered, ran map[int]int
}

// in returns the end of the latest phase of a kind at the present time, 0 if there is none.
func (r *recovery) in(kind faultKind) time.Duration {
	now, end := time.Since(r.start), time.Duration(0)
	for _, p := range r.phases {
		if p.kind == kind && now >= p.start && now < p.end {
			end = max(end, p.end)
		}
	}
	return end
}

// waitPaused waits until the process is not paused.
func (r *recovery) waitPaused() {
	for end := r.in(paused); end > 0; end = r.in(paused) {
		time.Sleep(time.Until(r.start.Add(end)))
	}
}

// call makes one call, as an entry that knows the level.
func (r *recovery) call(ctx context.Context, id action.ID, nested bool) {
	key := action.KeyOf(r.ranks[int(id[0])%len(r.ranks)], id)
	second := int(time.Since(r.start) / time.Second)
	r.mu.Lock()
	r.offered[second]++
	r.mu.Unlock()
	if !nested && !r.gate.Level().Admits(key) && !r.gate.HasRate() {
		return
	}
	p, err := r.gate.Acquire(ctx, admit.Call{ID: id, Key: key, Nested: nested, Method: fmt.Sprint(nested), Deadline: time.Now().Add(usualDeadline), QueueTimeout: 100 * time.Millisecond})
	if err != nil {
		return
	}
	result := r.run()
	if result == admit.Completed {
		r.mu.Lock()
		r.ran[second]++
		r.mu.Unlock()
	}
	p.Release(result)
}

// run is one run at the server.
func (r *recovery) run() admit.RunResult {
	switch {
	case r.in(rejecting) > 0:
		return admit.Rejected
	case r.in(rejectingWithCapacity) > 0:
		return admit.RejectedWithCapacity
	}
	d := usualRunTime
	if r.in(slow) > 0 {
		d = 40 * usualRunTime
	}
	lost := r.in(silentServer) > 0
	time.Sleep(d)
	r.waitPaused()
	if lost {
		time.Sleep(usualDeadline)
		return admit.NoResponse
	}
	return admit.Completed
}

func (r *recovery) offer(duration time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		for ctx.Err() == nil {
			time.Sleep(admit.TickInterval)
			r.waitPaused()
			r.gate.Tick()
		}
		return nil
	})
	for n := uint32(0); time.Since(r.start) < duration; n++ {
		time.Sleep(2 * time.Millisecond)
		r.waitPaused()
		id := action.ID{byte(n), byte(n >> 8), byte(n >> 16), byte(n * 37)}
		g.Go(func() error {
			r.call(ctx, id, n%2 == 0 && !r.callersOnly)
			return nil
		})
	}
	time.Sleep(2 * time.Second)
	cancel()
	_ = g.Wait()
}

func TestHealthyServerGetsNoCallsAfterFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			r := &recovery{
				gate:   admit.New(admit.Config{Slots: 34, Mode: admit.Full, Now: time.Now}),
				phases: drawPhases(rnd), start: time.Now(), ranks: []uint32{0, 1, 2, 3}, offered: map[int]int{}, ran: map[int]int{},
			}
			last := time.Duration(0)
			for _, p := range r.phases {
				last = max(last, p.end)
			}
			r.offer(last + 6*time.Second)
			for second := int(last/time.Second) + 3; second < int(last/time.Second)+5; second++ {
				if share := float64(r.ran[second]) / float64(r.offered[second]); share < 0.98 {
					t.Errorf("seed %d, faults %v: %.2f of the calls ran %d s after the last one", seed, r.phases, share, second-int(last/time.Second))
				}
			}
		})
	}
}

func TestCallsAreShedAfterTheEndOfALimit(t *testing.T) {
	for _, limit := range []float64{0, 2, 20, 200} {
		synctest.Test(t, func(t *testing.T) {
			r := &recovery{
				gate:  admit.New(admit.Config{Slots: 34, Mode: admit.Full, Now: time.Now}),
				start: time.Now(), ranks: []uint32{2}, callersOnly: true, offered: map[int]int{}, ran: map[int]int{},
			}
			var g errgroup.Group
			g.Go(func() error {
				time.Sleep(2 * time.Second)
				r.gate.SetRateLimit(limit)
				time.Sleep(5 * time.Second)
				r.gate.EndRateLimit()
				return nil
			})
			r.offer(10 * time.Second)
			_ = g.Wait()
			for second, least := range map[int]float64{8: 0.98 * float64(r.offered[8]), 9: 0.98 * float64(r.offered[9])} {
				if ran := float64(r.ran[second]); ran < least {
					t.Errorf("limit %g: %g calls ran in second %d, want %g at least", limit, ran, second, least)
				}
			}
			if got := r.ran[3] + r.ran[4] + r.ran[5]; got < 1 || float64(got) > 3.1*limit+2 {
				t.Errorf("limit %g: %d calls ran in 3 s; by second %v", limit, got, r.ran)
			}
		})
	}
}
