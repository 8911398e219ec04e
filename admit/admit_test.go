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

// fakeClock is a manually advanced clock.
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

// testCall is one call that a test submits to a gate.
type testCall struct {
	rank   uint32
	cancel context.CancelFunc
	permit *admit.Permit
	err    error
	done   chan struct{}
}

// harness drives a gate from one goroutine; each waiting call has a goroutine in group.
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

func (h *harness) acquire(rank uint32, deadline time.Duration) *testCall {
	return h.acquireMethod("get", rank, deadline)
}

func (h *harness) acquireMethod(method string, rank uint32, deadline time.Duration) *testCall {
	ctx, cancel := context.WithCancel(context.Background())
	tc := &testCall{rank: rank, cancel: cancel, done: make(chan struct{})}
	id := action.NewID()
	before := h.g.Stats()
	h.group.Go(func() error {
		defer close(tc.done)
		tc.permit, tc.err = h.g.Acquire(ctx, admit.Call{ID: id, Key: action.KeyOf(rank, id), Method: method, Deadline: h.c.now().Add(deadline)})
		return nil
	})
	for {
		after := h.g.Stats()
		if after.Inflight+after.Queued > before.Inflight+before.Queued || isDone(tc) {
			break
		}
		if h.collect() {
			break
		}
	}
	h.waiting = append(h.waiting, tc)
	h.collect()
	return tc
}

func isDone(tc *testCall) bool {
	select {
	case <-tc.done:
		return true
	default:
		return false
	}
}

// collect moves the admitted calls to running, drops the failed ones and reports whether any was
// shed.
func (h *harness) collect() bool {
	time.Sleep(50 * time.Microsecond)
	anyShed := false
	waiting := h.waiting[:0]
	for _, tc := range h.waiting {
		switch {
		case !isDone(tc):
			waiting = append(waiting, tc)
		case tc.err == nil:
			h.running = append(h.running, tc)
		default:
			h.shed++
			anyShed = true
		}
	}
	h.waiting = waiting
	return anyShed
}

func (h *harness) release(i int, took time.Duration) {
	tc := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	h.c.advance(took)
	tc.permit.Release(admit.Completed)
	h.collect()
}

func (h *harness) close() {
	for len(h.running) > 0 || len(h.waiting) > 0 {
		for len(h.running) > 0 {
			h.release(0, 0)
		}
		for _, tc := range h.waiting {
			tc.cancel()
		}
		h.collect()
	}
	_ = h.group.Wait()
}

// The gate panics if a more important call is shed while a less important one is queued or was
// admitted later.
func TestImportantCallsAreShedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		h := newHarness(slots)
		defer h.close()
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				h.acquire(rapid.Uint32Range(0, 3).Draw(t, "rank"), time.Minute)
			case 2:
				if len(h.running) > 0 {
					h.release(0, time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
				}
			case 3:
				h.c.advance(admit.TickInterval)
				h.g.Tick()
				h.collect()
			}
			if s := h.g.Stats(); s.Inflight > slots {
				t.Fatalf("%d calls in flight with %d slots", s.Inflight, slots)
			}
		}
	})
}

func TestFullQueueShedsTheLeastImportant(t *testing.T) {
	h := newHarness(1)
	defer h.close()
	h.acquire(0, time.Minute)
	low := make([]*testCall, 0, 8)
	for range 8 {
		low = append(low, h.acquire(3, time.Minute))
	}
	high := h.acquire(0, time.Minute)
	h.collect()
	shed := 0
	for _, tc := range low {
		if isDone(tc) {
			shed++
			var shedErr *admit.ShedError
			if !errors.As(tc.err, &shedErr) {
				t.Fatalf("the shed call ended with %v", tc.err)
			}
		}
	}
	if shed != 1 || isDone(high) {
		t.Fatalf("%d less important calls were shed, want 1; the important one ended: %t", shed, isDone(high))
	}
}

// Guards against a backlog of a low class that lowers the level so far that upstream daemons shed
// higher classes.
func TestBacklogOfALowClassDoesNotShedHigherClasses(t *testing.T) {
	h := newHarness(4)
	defer h.close()
	for range 4 {
		h.acquire(0, time.Minute)
	}
	h.c.advance(180 * time.Millisecond)
	for range 4 {
		h.release(0, 0)
	}
	for range 20 {
		h.c.advance(admit.TickInterval)
		h.g.Tick()
	}
	for range 30 {
		for range 4 {
			h.acquire(2, time.Minute)
		}
		h.c.advance(admit.TickInterval)
		h.g.Tick()
		h.collect()
		for r := range uint32(2) {
			if k := action.KeyOf(r, action.NewID()); !h.g.Level().Admits(k) {
				t.Fatalf("level %d sheds rank %d, only rank 2 exceeds the capacity", h.g.Level(), r)
			}
		}
	}
	if h.g.Level() == action.AdmitAll {
		t.Fatal("the level is open under overload")
	}
}

func TestLevelOpensSoonAfterOverload(t *testing.T) {
	h := newHarness(4)
	defer h.close()
	for range 4 {
		h.acquire(2, time.Minute)
	}
	for range 4 {
		h.release(0, 100*time.Millisecond)
	}
	for range 20 {
		for range 12 {
			h.acquire(2, time.Minute)
		}
		h.c.advance(admit.TickInterval)
		h.g.Tick()
		h.collect()
	}
	if h.g.Level() == action.AdmitAll {
		t.Fatal("the level is open under overload")
	}
	for len(h.running) > 0 {
		h.release(0, time.Millisecond)
	}
	elapsed := time.Duration(0)
	for h.g.Level() < action.AdmitAll {
		elapsed += admit.TickInterval
		if elapsed > 2*time.Second {
			t.Fatalf("level %d two seconds after the overload", h.g.Level())
		}
		h.c.advance(admit.TickInterval)
		h.g.Tick()
	}
}

// A request with a queue timeout is shed while its caller has time left to retry; a nested call
// stays queued.
func TestQueueTimeoutShedsOnlyRequestsThatHaveOne(t *testing.T) {
	c := &fakeClock{t: time.Unix(1000, 0)}
	g := admit.New(admit.Config{Slots: 1, Mode: admit.Full, Now: c.now})
	call := admit.Call{Key: 1 << 17, Method: "get", Deadline: c.now().Add(time.Minute)}
	permit, err := g.Acquire(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	results := map[bool]chan error{}
	var group errgroup.Group
	for _, nested := range []bool{false, true} {
		result := make(chan error, 1)
		results[nested] = result
		queued := call
		queued.Nested = nested
		if !nested {
			queued.QueueTimeout = 150 * time.Millisecond
		}
		group.Go(func() error {
			permit, err := g.Acquire(context.Background(), queued)
			if err == nil {
				permit.Release(admit.Completed)
			}
			result <- err
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
		t.Errorf("%d queued after 100 ms, want 2", n)
	}
	for range 2 {
		c.advance(admit.TickInterval)
		g.Tick()
	}
	var shed *admit.ShedError
	if err := <-results[false]; !errors.As(err, &shed) {
		t.Errorf("the request after 200 ms: %v, want a ShedError", err)
	}
	permit.Release(admit.Completed)
	if err := <-results[true]; err != nil {
		t.Errorf("the nested call: %v", err)
	}
	_ = group.Wait()
}

// A call of a lower rank never runs ahead of one of a higher rank, nested or not.
func TestQueueOrdersByRankBeforeNesting(t *testing.T) {
	h := newHarness(1)
	defer h.close()
	h.acquire(0, time.Minute)
	var order []string
	var mu sync.Mutex
	var group errgroup.Group
	enqueue := func(name string, rank uint32, nested bool) {
		before := h.g.Stats().Queued
		group.Go(func() error {
			id := action.NewID()
			permit, err := h.g.Acquire(context.Background(), admit.Call{Key: action.KeyOf(rank, id), Nested: nested, Method: "get", Deadline: h.c.now().Add(time.Minute)})
			if err != nil {
				return err
			}
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			permit.Release(admit.Completed)
			return nil
		})
		for h.g.Stats().Queued == before {
			time.Sleep(time.Millisecond)
		}
	}
	enqueue("view", 2, false)
	enqueue("call of a view", 2, true)
	enqueue("lookup", 1, false)
	h.release(0, time.Millisecond)
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
	h := newHarness(1)
	defer h.close()
	h.acquire(0, time.Minute)
	h.release(0, 400*time.Millisecond)
	tc := h.acquire(0, 100*time.Millisecond)
	<-tc.done
	var late *admit.DeadlineError
	if !errors.As(tc.err, &late) {
		t.Fatalf("a call with a deadline of 100ms and a run time of 400ms ended with %v", tc.err)
	}
}

// A short method must not be dropped because of the run times of a long one.
func TestDeadlineCheckIsPerMethod(t *testing.T) {
	h := newHarness(2)
	defer h.close()
	h.acquireMethod("long", 0, time.Minute)
	h.release(0, 400*time.Millisecond)
	h.acquireMethod("short", 0, time.Minute)
	h.release(0, 5*time.Millisecond)
	if tc := h.acquireMethod("short", 0, 50*time.Millisecond); tc.err != nil {
		t.Fatalf("a short call with a deadline of 50ms was not admitted: %v", tc.err)
	}
	var late *admit.DeadlineError
	if tc := h.acquireMethod("long", 0, 50*time.Millisecond); !errors.As(tc.err, &late) {
		t.Fatalf("a long call with a deadline of 50ms ended with %v", tc.err)
	}
}

func TestCancelledCallIsDequeued(t *testing.T) {
	h := newHarness(1)
	defer h.close()
	h.acquire(0, time.Minute)
	tc := h.acquire(0, time.Minute)
	tc.cancel()
	<-tc.done
	if s := h.g.Stats(); s.Queued != 0 || !errors.Is(tc.err, context.Canceled) {
		t.Fatalf("queued=%d err=%v", s.Queued, tc.err)
	}
}

// Guards against a closed level after a restart of all servers: a full queue at a server that has
// not completed a run yet gives no capacity estimate.
func TestLevelStaysOpenBeforeTheFirstRunEnds(t *testing.T) {
	h := newHarness(4)
	defer h.close()
	for range 40 {
		h.acquire(1, time.Minute)
	}
	h.c.advance(admit.TickInterval)
	h.g.Tick()
	h.collect()
	if h.g.Level() != action.AdmitAll {
		t.Fatalf("level %d before the end of the first run, want AdmitAll", h.g.Level())
	}
}
