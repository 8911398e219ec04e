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

// clock is a clock that the test moves.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// entrant is one call of the test at a gate.
type entrant struct {
	rank   uint32
	cancel context.CancelFunc
	pass   *admit.Pass
	err    error
	done   chan struct{}
}

// bench drives a gate from one goroutine, with the waiting calls in a group.
type bench struct {
	g       *admit.Gate
	c       *clock
	group   errgroup.Group
	waiting []*entrant
	running []*entrant
	shed    int
}

func newBench(slots int) *bench {
	c := &clock{t: time.Unix(1000, 0)}
	return &bench{c: c, g: admit.New(admit.Config{Slots: slots, Mode: admit.Full, Now: c.now})}
}

func (b *bench) enter(rank uint32, deadline time.Duration) *entrant {
	return b.enterMethod("get", rank, deadline)
}

func (b *bench) enterMethod(method string, rank uint32, deadline time.Duration) *entrant {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entrant{rank: rank, cancel: cancel, done: make(chan struct{})}
	id := action.NewID()
	queued := b.g.Stats()
	b.group.Go(func() error {
		defer close(e.done)
		e.pass, e.err = b.g.Enter(ctx, admit.Call{ID: id, Key: action.KeyOf(rank, id), Method: method, Deadline: b.c.now().Add(deadline)})
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

func isDone(e *entrant) bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// collect sorts the calls that got a verdict and reports whether any was shed.
func (b *bench) collect() bool {
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

func (b *bench) leave(i int, took time.Duration) {
	e := b.running[i]
	b.running = append(b.running[:i], b.running[i+1:]...)
	b.c.add(took)
	e.pass.Leave(admit.Ran)
	b.collect()
}

func (b *bench) close() {
	for len(b.running) > 0 || len(b.waiting) > 0 {
		for len(b.running) > 0 {
			b.leave(0, 0)
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
		b := newBench(slots)
		defer b.close()
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.enter(rapid.Uint32Range(0, 3).Draw(t, "rank"), time.Minute)
			case 2:
				if len(b.running) > 0 {
					b.leave(0, time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
				}
			case 3:
				b.c.add(admit.TickEvery)
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
	b := newBench(1)
	defer b.close()
	b.enter(0, time.Minute)
	low := make([]*entrant, 0, 8)
	for range 8 {
		low = append(low, b.enter(3, time.Minute))
	}
	high := b.enter(0, time.Minute)
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
	b := newBench(4)
	defer b.close()
	for range 4 {
		b.enter(0, time.Minute)
	}
	b.c.add(180 * time.Millisecond)
	for range 4 {
		b.leave(0, 0)
	}
	for range 20 {
		b.c.add(admit.TickEvery)
		b.g.Tick()
	}
	for range 30 {
		for range 4 {
			b.enter(2, time.Minute)
		}
		b.c.add(admit.TickEvery)
		b.g.Tick()
		b.collect()
		for r := range uint32(2) {
			if k := action.KeyOf(r, action.NewID()); !b.g.Level().Admits(k) {
				t.Fatalf("level %d sheds rank %d, only rank 2 is too much", b.g.Level(), r)
			}
		}
	}
	if b.g.Level() == action.Open {
		t.Fatal("the level is open under overload")
	}
}

func TestLevelOpensSoonAfterTheSurge(t *testing.T) {
	b := newBench(4)
	defer b.close()
	for range 4 {
		b.enter(2, time.Minute)
	}
	for range 4 {
		b.leave(0, 100*time.Millisecond)
	}
	for range 20 {
		for range 12 {
			b.enter(2, time.Minute)
		}
		b.c.add(admit.TickEvery)
		b.g.Tick()
		b.collect()
	}
	if b.g.Level() == action.Open {
		t.Fatal("the level is open under overload")
	}
	for len(b.running) > 0 {
		b.leave(0, time.Millisecond)
	}
	opened := time.Duration(0)
	for b.g.Level() < action.Open {
		opened += admit.TickEvery
		if opened > 2*time.Second {
			t.Fatalf("level %d two seconds after the surge", b.g.Level())
		}
		b.c.add(admit.TickEvery)
		b.g.Tick()
	}
}

func TestCallThatCannotFinishIsDropped(t *testing.T) {
	b := newBench(1)
	defer b.close()
	b.enter(0, time.Minute)
	b.leave(0, 400*time.Millisecond)
	e := b.enter(0, 100*time.Millisecond)
	<-e.done
	var late *admit.LateError
	if !errors.As(e.err, &late) {
		t.Fatalf("a call with 100ms for a run of 400ms ended with %v", e.err)
	}
}

// A short method must not be dropped for the run times of a long one.
func TestLateIsJudgedByMethod(t *testing.T) {
	b := newBench(2)
	defer b.close()
	b.enterMethod("long", 0, time.Minute)
	b.leave(0, 400*time.Millisecond)
	b.enterMethod("short", 0, time.Minute)
	b.leave(0, 5*time.Millisecond)
	if e := b.enterMethod("short", 0, 50*time.Millisecond); e.err != nil {
		t.Fatalf("a short call with 50ms was refused: %v", e.err)
	}
	var late *admit.LateError
	if e := b.enterMethod("long", 0, 50*time.Millisecond); !errors.As(e.err, &late) {
		t.Fatalf("a long call with 50ms ended with %v", e.err)
	}
}

func TestCancelledCallLeavesTheQueue(t *testing.T) {
	b := newBench(1)
	defer b.close()
	b.enter(0, time.Minute)
	e := b.enter(0, time.Minute)
	e.cancel()
	<-e.done
	if s := b.g.Stats(); s.Queued != 0 || !errors.Is(e.err, context.Canceled) {
		t.Fatalf("queued=%d err=%v", s.Queued, e.err)
	}
}

// After a restart of all, a full queue at a server that has not answered yet
// once closed the level for everyone.
func TestColdGateKeepsItsLevel(t *testing.T) {
	b := newBench(4)
	defer b.close()
	for range 40 {
		b.enter(1, time.Minute)
	}
	b.c.add(admit.TickEvery)
	b.g.Tick()
	b.collect()
	if b.g.Level() != action.Open {
		t.Fatalf("level %d before the first run ended", b.g.Level())
	}
}
