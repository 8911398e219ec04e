package admit_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
)

// fakeClock is a clock that the test moves.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// testCall is one call of the test at a gate.
type testCall struct {
	rank   uint32
	cancel context.CancelFunc
	permit *admit.Permit
	err    error
	done   chan struct{}
}

// harness drives a gate from one goroutine, with the waiting calls in a group.
type harness struct {
	g       *admit.Gate
	c       *fakeClock
	group   errgroup.Group
	waiting []*testCall
	running []*testCall
	shed    int
}

func newHarness(slots int) *harness {
	c := &fakeClock{t: time.Unix(1000, 0)}
	return &harness{c: c, g: admit.New(admit.Config{Slots: slots, Mode: admit.Full, Now: c.now})}
}

func (b *harness) acquire(rank uint32, deadline time.Duration) *testCall {
	return b.acquireMethod("get", rank, deadline)
}

func (b *harness) acquireMethod(method string, rank uint32, deadline time.Duration) *testCall {
	ctx, cancel := context.WithCancel(context.Background())
	e := &testCall{rank: rank, cancel: cancel, done: make(chan struct{})}
	id := action.NewID()
	queued := b.g.Stats()
	b.group.Go(func() error {
		defer close(e.done)
		e.permit, e.err = b.g.Acquire(ctx, admit.Call{ID: id, Key: action.KeyOf(rank, id), Method: method, Deadline: b.c.now().Add(deadline)})
		return nil
	})
	for {
		s := b.g.Stats()
		if s.Inflight+s.Queued > queued.Inflight+queued.Queued || isDone(e) {
			break
		}
		if b.collect() {
			break
		}
	}
	b.waiting = append(b.waiting, e)
	b.collect()
	return e
}

func isDone(e *testCall) bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// collect sorts the calls that got a verdict and reports whether any was shed.
func (b *harness) collect() bool {
	time.Sleep(50 * time.Microsecond)
	anyShed := false
	rest := b.waiting[:0]
	for _, e := range b.waiting {
		switch {
		case !isDone(e):
			rest = append(rest, e)
		case e.err == nil:
			b.running = append(b.running, e)
		default:
			b.shed++
			anyShed = true
		}
	}
	b.waiting = rest
	return anyShed
}

func (b *harness) release(i int, took time.Duration) {
	e := b.running[i]
	b.running = append(b.running[:i], b.running[i+1:]...)
	b.c.advance(took)
	e.permit.Release(admit.Completed)
	b.collect()
}

func (b *harness) close() {
	for len(b.running) > 0 || len(b.waiting) > 0 {
		for len(b.running) > 0 {
			b.release(0, 0)
		}
		for _, e := range b.waiting {
			e.cancel()
		}
		b.collect()
	}
	_ = b.group.Wait()
}

// The gate itself panics when a more important call is shed while a less
// important one waits or was admitted later.
func TestImportantCallsAreShedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		b := newHarness(slots)
		defer b.close()
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.acquire(rapid.Uint32Range(0, 3).Draw(t, "rank"), time.Minute)
			case 2:
				if len(b.running) > 0 {
					b.release(0, time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
				}
			case 3:
				b.c.advance(admit.TickInterval)
				b.g.Tick()
				b.collect()
			}
			if s := b.g.Stats(); s.Inflight > slots {
				t.Fatalf("%d in flight with %d slots", s.Inflight, slots)
			}
		}
	})
}

func TestFullQueueShedsTheLeastImportant(t *testing.T) {
	b := newHarness(1)
	defer b.close()
	b.acquire(0, time.Minute)
	low := make([]*testCall, 0, 8)
	for range 8 {
		low = append(low, b.acquire(3, time.Minute))
	}
	high := b.acquire(0, time.Minute)
	b.collect()
	shed := 0
	for _, e := range low {
		if isDone(e) {
			shed++
			var bad *admit.ShedError
			if !errors.As(e.err, &bad) {
				t.Fatalf("pushed-out call ended with %v", e.err)
			}
		}
	}
	if shed != 1 || isDone(high) {
		t.Fatalf("%d less important calls were shed, the important one ended: %t", shed, isDone(high))
	}
}

// A backlog of lookups once made the level refuse dues upstream.
func TestLowBacklogDoesNotShedHighClass(t *testing.T) {
	b := newHarness(4)
	defer b.close()
	for range 4 {
		b.acquire(0, time.Minute)
	}
	b.c.advance(180 * time.Millisecond)
	for range 4 {
		b.release(0, 0)
	}
	for range 20 {
		b.c.advance(admit.TickInterval)
		b.g.Tick()
	}
	for range 30 {
		for range 4 {
			b.acquire(2, time.Minute)
		}
		b.c.advance(admit.TickInterval)
		b.g.Tick()
		b.collect()
		for r := range uint32(2) {
			if k := action.KeyOf(r, action.NewID()); !b.g.Level().Admits(k) {
				t.Fatalf("level %d sheds rank %d, only rank 2 is too much", b.g.Level(), r)
			}
		}
	}
	if b.g.Level() == action.AdmitAll {
		t.Fatal("the level is open under overload")
	}
}

func TestLevelOpensSoonAfterTheSurge(t *testing.T) {
	b := newHarness(4)
	defer b.close()
	for range 4 {
		b.acquire(2, time.Minute)
	}
	for range 4 {
		b.release(0, 100*time.Millisecond)
	}
	for range 20 {
		for range 12 {
			b.acquire(2, time.Minute)
		}
		b.c.advance(admit.TickInterval)
		b.g.Tick()
		b.collect()
	}
	if b.g.Level() == action.AdmitAll {
		t.Fatal("the level is open under overload")
	}
	for len(b.running) > 0 {
		b.release(0, time.Millisecond)
	}
	opened := time.Duration(0)
	for b.g.Level() < action.AdmitAll {
		opened += admit.TickInterval
		if opened > 2*time.Second {
			t.Fatalf("level %d two seconds after the surge", b.g.Level())
		}
		b.c.advance(admit.TickInterval)
		b.g.Tick()
	}
}

// A caller's request that waits behind others is refused while it has time to
// come back; what is invested in waits on.
func TestRequestIsNotHeldInTheQueue(t *testing.T) {
	c := &fakeClock{t: time.Unix(1000, 0)}
	g := admit.New(admit.Config{Slots: 1, Mode: admit.Full, Now: c.now})
	call := admit.Call{Key: 1 << 17, Method: "get", Deadline: c.now().Add(time.Minute)}
	pass, err := g.Acquire(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	ends := map[bool]chan error{}
	var group errgroup.Group
	for _, own := range []bool{false, true} {
		end := make(chan error, 1)
		ends[own] = end
		w := call
		w.Nested = own
		if !own {
			w.QueueTimeout = 150 * time.Millisecond
		}
		group.Go(func() error {
			p, err := g.Acquire(context.Background(), w)
			if err == nil {
				p.Release(admit.Completed)
			}
			end <- err
			return nil
		})
	}
	for g.Stats().Queued < 2 {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		c.advance(admit.TickInterval)
		g.Tick()
	}
	if n := g.Stats().Queued; n != 2 {
		t.Errorf("%d wait after 100 ms, want 2", n)
	}
	for range 2 {
		c.advance(admit.TickInterval)
		g.Tick()
	}
	var shed *admit.ShedError
	if err := <-ends[false]; !errors.As(err, &shed) {
		t.Errorf("after 200 ms: %v", err)
	}
	pass.Release(admit.Completed)
	if err := <-ends[true]; err != nil {
		t.Errorf("what was invested in: %v", err)
	}
	_ = group.Wait()
}

// What a rank above has invested or not, a rank below never goes first.
func TestRankGoesBeforeInvestment(t *testing.T) {
	b := newHarness(1)
	defer b.close()
	b.acquire(0, time.Minute)
	var order []string
	var mu sync.Mutex
	var group errgroup.Group
	wait := func(name string, rank uint32, own bool) {
		before := b.g.Stats().Queued
		group.Go(func() error {
			id := action.NewID()
			p, err := b.g.Acquire(context.Background(), admit.Call{Key: action.KeyOf(rank, id), Nested: own, Method: "get", Deadline: b.c.now().Add(time.Minute)})
			if err != nil {
				return err
			}
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			p.Release(admit.Completed)
			return nil
		})
		for b.g.Stats().Queued == before {
			time.Sleep(time.Millisecond)
		}
	}
	wait("view", 2, false)
	wait("call of a view", 2, true)
	wait("lookup", 1, false)
	b.release(0, time.Millisecond)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	want := []string{"lookup", "call of a view", "view"}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order %v, want %v", order, want)
		}
	}
}

func TestCallThatCannotFinishIsDropped(t *testing.T) {
	b := newHarness(1)
	defer b.close()
	b.acquire(0, time.Minute)
	b.release(0, 400*time.Millisecond)
	e := b.acquire(0, 100*time.Millisecond)
	<-e.done
	var late *admit.DeadlineError
	if !errors.As(e.err, &late) {
		t.Fatalf("a call with 100ms for a run of 400ms ended with %v", e.err)
	}
}

// A short method must not be dropped for the run times of a long one.
func TestLateIsJudgedByMethod(t *testing.T) {
	b := newHarness(2)
	defer b.close()
	b.acquireMethod("long", 0, time.Minute)
	b.release(0, 400*time.Millisecond)
	b.acquireMethod("short", 0, time.Minute)
	b.release(0, 5*time.Millisecond)
	if e := b.acquireMethod("short", 0, 50*time.Millisecond); e.err != nil {
		t.Fatalf("a short call with 50ms was refused: %v", e.err)
	}
	var late *admit.DeadlineError
	if e := b.acquireMethod("long", 0, 50*time.Millisecond); !errors.As(e.err, &late) {
		t.Fatalf("a long call with 50ms ended with %v", e.err)
	}
}

func TestCancelledCallLeavesTheQueue(t *testing.T) {
	b := newHarness(1)
	defer b.close()
	b.acquire(0, time.Minute)
	e := b.acquire(0, time.Minute)
	e.cancel()
	<-e.done
	if s := b.g.Stats(); s.Queued != 0 || !errors.Is(e.err, context.Canceled) {
		t.Fatalf("queued=%d err=%v", s.Queued, e.err)
	}
}

// After a restart of all, a full queue at a server that has not answered yet
// once closed the level for everyone.
func TestColdGateKeepsItsLevel(t *testing.T) {
	b := newHarness(4)
	defer b.close()
	for range 40 {
		b.acquire(1, time.Minute)
	}
	b.c.advance(admit.TickInterval)
	b.g.Tick()
	b.collect()
	if b.g.Level() != action.AdmitAll {
		t.Fatalf("level %d before the first run ended", b.g.Level())
	}
}
