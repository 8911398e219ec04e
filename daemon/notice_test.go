package daemon_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// offerLoad sends requests from callers beside n, with a pause after each, until the returned
// function is called.
func offerLoad(n *httpNode, callers int, pause time.Duration) (stop func()) {
	var g errgroup.Group
	var stopped atomic.Bool
	for k := range callers {
		g.Go(func() error {
			for i := 0; !stopped.Load(); i++ {
				n.request(fmt.Sprintf("load-%d-%d", k, i))
				time.Sleep(pause)
			}
			return nil
		})
	}
	return func() {
		stopped.Store(true)
		_ = g.Wait()
	}
}

// mostRuns returns the largest number of runs within a span that begins after a time.
func (n *httpNode) mostRuns(span time.Duration, after time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	for i, first := range n.ranAt {
		if first.Before(after) {
			continue
		}
		count := 0
		for _, at := range n.ranAt[i:] {
			if at.Sub(first) <= span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestServerGetsMoreThanTheLimitItNames(t *testing.T) {
	s, one, two := newPair(t)
	two.setSlots(60)
	two.delay.Store(int64(50 * time.Millisecond))
	stop := offerLoad(one, 40, 150*time.Millisecond)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	limit, none := "20", ""
	two.limit.Store(&limit)
	time.Sleep(500 * time.Millisecond)
	after := time.Now()
	time.Sleep(2 * time.Second)
	// The daemon forgets what the server said; the daemons that it told do not.
	two.restart()
	s.eventually(5*time.Second, "heartbeat", func() bool { return two.heartbeat(2, 60, false) == 200 })
	time.Sleep(3 * time.Second)
	// The users allow one and a half times the limit, and 5 requests, in 4 s.
	const span, allowed = 4 * time.Second, 20*4*3/2 + 5
	if got := two.mostRuns(span, after); got > allowed {
		t.Errorf("%d requests in %s, allowed %d", got, span, allowed)
	}
	if got := two.mostRuns(time.Second, after); got < 15 {
		t.Errorf("%d requests in a second at a limit of 20", got)
	}
	two.limit.Store(&none)
	s.eventually(5*time.Second, "unlimited", func() bool { return two.mostRuns(time.Second, time.Now().Add(-time.Second)) > 100 })
}

func TestInvalidLimitIsIgnored(t *testing.T) {
	_, one, two := newPair(t)
	for _, limit := range []string{"", "many", "-3", "NaN", "+Inf", "1e999", "20, 30"} {
		two.limit.Store(&limit)
		for i := range 20 {
			if status, _, body := one.request(fmt.Sprintf("r-%q-%d", limit, i)); status != 200 {
				t.Fatalf("limit %q: status %d %s", limit, status, body)
			}
		}
	}
}

func TestServerThatTakesNothingStillGetsARequest(t *testing.T) {
	s, one, two := newPair(t)
	zero, none := "0", ""
	two.limit.Store(&zero)
	stop := offerLoad(one, 10, 5*time.Millisecond)
	defer stop()
	time.Sleep(time.Second)
	after := time.Now()
	time.Sleep(4500 * time.Millisecond)
	if got := two.mostRuns(4*time.Second, after); got < 1 || got > 5 {
		t.Errorf("%d requests in 4s, want 1 to 5", got)
	}
	two.limit.Store(&none)
	s.eventually(8*time.Second, "unlimited", func() bool { return two.mostRuns(time.Second, time.Now().Add(-time.Second)) > 50 })
}

func TestServerThatSaysItLeavesGetsRequests(t *testing.T) {
	s, one, two := newPair(t)
	two.setSlots(8)
	two.leaving.Store(true)
	s.awaitServed(time.Second, one, "two")
	runs := two.runs.Load()
	expectNone := func(what string) {
		t.Helper()
		for i := range 30 {
			if status, _, _ := one.request(fmt.Sprintf("%s-%d", what, i)); status == 200 {
				t.Fatalf("%s: a request was served", what)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got := two.runs.Load() - runs; got > 0 {
			t.Errorf("%s: %d requests reached the server", what, got)
		}
	}
	expectNone("leaving")
	two.heartbeat(2, 8, false)
	expectNone("ready heartbeat")
	// A health check of the restarted daemon does not show that the server leaves.
	two.restart()
	s.eventually(5*time.Second, "ready", two.isReady)
	two.heartbeat(2, 8, false)
	expectNone("restarted daemon, late heartbeat")
	two.healthLeaving.Store(true)
	two.restart()
	s.eventually(5*time.Second, "ready", two.isReady)
	expectNone("restarted daemon, health check")
	two.leaving.Store(false)
	two.heartbeatOf(time.Now(), 1, 8, false)
	s.awaitServed(5*time.Second, one, "two")
}
