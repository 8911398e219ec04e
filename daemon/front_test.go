package daemon_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

func TestDaemonsStartWhileTheStoreIsAway(t *testing.T) {
	s := newHTTPCluster(t)
	s.store.setUnavailable(true)
	one, two := s.add("one"), s.add("two")
	status, header, _ := one.request("r1")
	if status != 503 || header.Get("Retry-After") == "" || one.isReady() {
		t.Errorf("without a policy: status %d, header %v", status, header)
	}
	s.configure(7, "two")
	s.store.setUnavailable(false)
	s.await(3*time.Second, "ready", func() bool { return one.isReady() && two.isReady() })
	// The servers are asked what they are; no heartbeat came.
	s.awaitServed(3*time.Second, one, "two")
}

// A store that refuses all calls at once must not be asked all the time by the
// daemons that know no policy: reads of the policy and of the seeds, each a few
// a second.
func TestFewCallsToAStoreThatRefuses(t *testing.T) {
	const daemons, span, perSecond = 2, 3 * time.Second, 12
	s := newHTTPCluster(t)
	s.store.setUnavailable(true)
	s.add("one")
	s.add("two")
	time.Sleep(span)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if most := daemons * int(span.Seconds()+1) * perSecond; s.store.refused > most {
		t.Errorf("%d calls in %s, at most %d are wanted", s.store.refused, span, most)
	}
}

func TestRestartedDaemonLearnsFromItsPeers(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two, three := s.add("one"), s.add("two"), s.add("one")
	s.awaitServed(5*time.Second, one, "two")
	s.awaitServed(5*time.Second, three, "two")
	s.store.setUnavailable(true)
	one.restart()
	s.await(5*time.Second, "ready without the store", one.isReady)
	s.awaitServed(5*time.Second, one, "two")
	two.restart()
	s.awaitServed(8*time.Second, three, "two")
}

// All daemons that watch the policy are cut from the store, but from no other
// daemon. A new version still comes into force, by one of the others.
func TestWatchersCutFromTheStore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	for range 3 {
		s.add("one")
	}
	s.add("two")
	five := s.add("two")
	for _, n := range s.nodes {
		s.await(5*time.Second, "ready", n.isReady)
	}
	s.awaitServed(5*time.Second, five, "two")
	for _, n := range s.nodes[:3] {
		n.partitioned.Store(true)
	}
	s.configure(9, "one")
	s.awaitServed(30*time.Second, five, "one")
	s.awaitServed(5*time.Second, s.nodes[0], "one")
}

func TestVersionsOnlyRise(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one := s.add("one")
	s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	s.configure(5, "one")
	time.Sleep(500 * time.Millisecond)
	if _, _, body := one.request("r1"); !strings.HasPrefix(body, "from two") {
		t.Errorf("an older configuration took effect: %q", body)
	}
	s.configure(12, "one")
	s.awaitServed(2*time.Second, one, "one")
}

func TestAcknowledgedLeaveIsKept(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	if got := two.heartbeat(1, 4, false); got != 200 {
		t.Fatalf("heartbeat answered %d", got)
	}
	if got := two.heartbeat(2, 4, true); got != 200 {
		t.Fatalf("leave answered %d", got)
	}
	before := two.runs.Load()
	for n := range 20 {
		if status, _, _ := one.request(fmt.Sprintf("late-%d", n)); status != 503 {
			t.Errorf("status %d after the leave", status)
		}
	}
	if got := two.runs.Load(); got != before {
		t.Errorf("%d requests reached a server that left", got-before)
	}
	if got := two.heartbeat(3, 0, false); got != 400 {
		t.Errorf("a report without slots was answered %d", got)
	}
}

// A stop answers what was read, also on connections that stay open, and tells
// callers to go elsewhere.
func TestStopAnswersWhatWasRead(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	// All of them run at once; none waits in the queue.
	if got := two.heartbeat(1, 8, false); got != 200 {
		t.Fatalf("heartbeat answered %d", got)
	}
	two.delay.Store(int64(400 * time.Millisecond))
	var g errgroup.Group
	var whole atomic.Int64
	for n := range 4 {
		g.Go(func() error {
			if status, _, body := one.request(fmt.Sprintf("held-%d", n)); status == 200 && body == "from "+two.id {
				whole.Add(1)
			}
			return nil
		})
	}
	s.await(2*time.Second, "in flight", func() bool { return two.runs.Load() >= 4 })
	one.stop()
	s.await(time.Second, "not ready", func() bool { return !one.isReady() })
	_ = g.Wait()
	if whole.Load() != 4 {
		t.Errorf("%d of 4 requests in flight were answered whole", whole.Load())
	}
	if err := <-one.done; err != nil {
		t.Error(err)
	}
	one.run()
}

// Callers go on sending until the process is gone. What was passed on to a
// server is answered, also in the moment in which the daemon ends.
func TestStopCutsNothingThatWasPassedOn(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	for round := range 6 {
		s.awaitServed(5*time.Second, one, "two")
		two.delay.Store(int64(3 * time.Millisecond))
		var g errgroup.Group
		ended := make(chan struct{})
		for k := range 8 {
			g.Go(func() error {
				for n := 0; ; n++ {
					select {
					case <-ended:
						return nil
					case <-time.After(time.Duration(2+k) * time.Millisecond):
					}
					id := fmt.Sprintf("stop-%d-%d-%d", round, k, n)
					status, _, detail := one.request(id)
					if _, ran := two.ranIDs.Load(id); ran && status == 0 {
						t.Errorf("request %s ran and was cut: %s", id, detail)
					}
				}
			})
		}
		one.stop()
		if err := <-one.done; err != nil {
			t.Error(err)
		}
		close(ended)
		_ = g.Wait()
		one.run()
	}
}
