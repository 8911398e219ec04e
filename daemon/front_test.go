package daemon_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

func TestStartWhileStoreIsUnavailable(t *testing.T) {
	s := newHTTPCluster(t)
	s.store.setUnavailable(true)
	one, two := s.add("one"), s.add("two")
	status, header, _ := one.request("r1")
	if status != 503 || header.Get("Retry-After") == "" || one.isReady() {
		t.Errorf("without a policy: status %d, header %v", status, header)
	}
	s.configure(7, "two")
	s.store.setUnavailable(false)
	s.eventually(3*time.Second, "ready", func() bool { return one.isReady() && two.isReady() })
	// No heartbeat was sent: the daemons learn of their servers from health checks.
	s.awaitServed(3*time.Second, one, "two")
}

// Daemons without a policy must not retry in a tight loop against a store that
// rejects all calls immediately: reads of the policy and of the seeds are each
// limited to a few per second.
func TestCallRateToRejectingStore(t *testing.T) {
	const daemons, duration, perSecond = 2, 3 * time.Second, 12
	s := newHTTPCluster(t)
	s.store.setUnavailable(true)
	s.add("one")
	s.add("two")
	time.Sleep(duration)
	if limit := int64(daemons * int(duration.Seconds()+1) * perSecond); s.store.rejected.Load() > limit {
		t.Errorf("%d calls in %s, want at most %d", s.store.rejected.Load(), duration, limit)
	}
}

func TestRestartedDaemonGetsPolicyFromPeers(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two, three := s.add("one"), s.add("two"), s.add("one")
	s.awaitServed(5*time.Second, one, "two")
	s.awaitServed(5*time.Second, three, "two")
	s.store.setUnavailable(true)
	one.restart()
	s.eventually(5*time.Second, "ready without the store", one.isReady)
	s.awaitServed(5*time.Second, one, "two")
	two.restart()
	s.awaitServed(8*time.Second, three, "two")
}

// All daemons that watch the policy are partitioned from the store, but not from
// other daemons. A new version must still come into force, through a daemon that
// does not watch.
func TestWatchersPartitionedFromStore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	for range 3 {
		s.add("one")
	}
	s.add("two")
	five := s.add("two")
	for _, n := range s.nodes {
		s.eventually(5*time.Second, "ready", n.isReady)
	}
	s.awaitServed(5*time.Second, five, "two")
	for _, n := range s.nodes[:3] {
		n.partitioned.Store(true)
	}
	s.configure(9, "one")
	s.awaitServed(30*time.Second, five, "one")
	s.awaitServed(5*time.Second, s.nodes[0], "one")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
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

func TestAcknowledgedDeregistrationIsKept(t *testing.T) {
	_, one, two := newPair(t)
	two.setSlots(4)
	if got := two.heartbeat(2, 4, true); got != 200 {
		t.Fatalf("deregistration: status %d", got)
	}
	before := two.runs.Load()
	for n := range 20 {
		if status, _, _ := one.request(fmt.Sprintf("late-%d", n)); status != 503 {
			t.Errorf("status %d after the deregistration", status)
		}
	}
	if got := two.runs.Load(); got != before {
		t.Errorf("%d requests reached a deregistered server", got-before)
	}
	if got := two.heartbeat(3, 0, false); got != 400 {
		t.Errorf("report without slots: status %d", got)
	}
}

// A stopping daemon completes the requests in flight, also on connections that
// stay open, and reports that it is not ready.
func TestStopCompletesRequestsInFlight(t *testing.T) {
	s, one, two := newPair(t)
	// There are slots for all requests at once, so that none waits in the queue.
	two.setSlots(8)
	two.delay.Store(int64(400 * time.Millisecond))
	var g errgroup.Group
	var succeeded atomic.Int64
	for n := range 4 {
		g.Go(func() error {
			if status, _, body := one.request(fmt.Sprintf("held-%d", n)); status == 200 && body == "from "+two.id {
				succeeded.Add(1)
			}
			return nil
		})
	}
	s.eventually(2*time.Second, "in flight", func() bool { return two.runs.Load() >= 4 })
	one.stop()
	s.eventually(time.Second, "not ready", func() bool { return !one.isReady() })
	_ = g.Wait()
	if succeeded.Load() != 4 {
		t.Errorf("%d of 4 requests in flight got a complete response", succeeded.Load())
	}
	if err := <-one.done; err != nil {
		t.Error(err)
	}
	one.run()
}

// Callers keep sending until the process has exited. Each request that was
// forwarded to a backend server must get a response, also if the daemon exits at
// that moment.
func TestStopCompletesForwardedRequests(t *testing.T) {
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
						t.Errorf("request %s ran but got no response: %s", id, detail)
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

// The daemon beside the only server of a service stops. Callers of other daemons
// must be served until it accepts no more requests: the server itself is in
// service. Guards against a restart of the daemons of a service, one after the
// other, that refused nearly all requests for two seconds.
func TestServerOfStoppingDaemonServes(t *testing.T) {
	s := newHTTPCluster(t)
	s.stopDelay = 1500 * time.Millisecond
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	start := time.Now()
	two.stop()
	// The daemon announces that it stops after 700 ms.
	for n := 0; time.Since(start) < s.stopDelay-100*time.Millisecond; n++ {
		if status, _, body := one.request(fmt.Sprintf("stopping-%d", n)); status != 200 {
			t.Fatalf("%s after the stop: status %d %s", time.Since(start), status, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	two.run()
}

// Each request that a server began to run in a stop must get its response.
func TestLateRequestsOfAStopAreCut(t *testing.T) {
	s := newHTTPCluster(t)
	s.stopDelay = time.Second
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	two.setSlots(40)
	two.delay.Store(int64(900 * time.Millisecond))
	for _, stopping := range []*httpNode{one, two} {
		var g errgroup.Group
		ended := make(chan struct{})
		for k := range 12 {
			g.Go(func() error {
				for n := 0; ; n++ {
					select {
					case <-ended:
						return nil
					case <-time.After(time.Duration(5+k) * time.Millisecond):
					}
					id := fmt.Sprintf("late-%s-%d-%d", stopping.id, k, n)
					status, _, detail := one.request(id)
					_, ran := two.ranIDs.Load(id)
					if ran && status != 200 {
						t.Errorf("request %s ran and got status %d: %s", id, status, detail)
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		stopping.stop()
		if err := <-stopping.done; err != nil {
			t.Error(err)
		}
		close(ended)
		_ = g.Wait()
		stopping.run()
		s.awaitServed(5*time.Second, one, "two")
	}
}

func TestLateCallOfAStopIsCut(t *testing.T) {
	s := newHTTPCluster(t)
	s.stopDelay = 2400 * time.Millisecond
	s.configure(7, "two")
	one := s.add("one")
	two, three := s.add("two"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	for _, n := range []*httpNode{two, three} {
		s.eventually(5*time.Second, "ready", n.isReady)
		n.delay.Store(int64(1200 * time.Millisecond))
	}
	start := time.Now()
	two.stop()
	time.Sleep(s.stopDelay - 300*time.Millisecond)
	var g errgroup.Group
	var parents atomic.Int64
	for k := range 8 {
		parent := fmt.Sprintf("parent-%d", k)
		g.Go(func() error {
			two.request(parent)
			return nil
		})
		g.Go(func() error {
			time.Sleep(2700*time.Millisecond - time.Since(start))
			if _, ok := two.ranIDs.Load(parent); !ok {
				return nil
			}
			parents.Add(1)
			id := parent + ".call"
			status, _, detail := two.request(id)
			_, ranAtTwo := two.ranIDs.Load(id)
			_, ranAtThree := three.ranIDs.Load(id)
			if (ranAtTwo || ranAtThree) && status != 200 {
				t.Errorf("call %s ran and got status %d: %s", id, status, detail)
			}
			return nil
		})
	}
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	_ = g.Wait()
	if parents.Load() == 0 {
		t.Error("no parent runs at the stopping instance")
	}
	two.run()
}

func TestCallsAreRejectedForGoodAfterASlowPhase(t *testing.T) {
	_, one, two := newPair(t)
	two.setSlots(40)
	two.delay.Store(int64(1300 * time.Millisecond))
	stop := offerLoad(one, 30, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	stop()
	two.delay.Store(int64(5 * time.Millisecond))
	time.Sleep(time.Second)
	for i := range 20 {
		if status, _, _ := one.requestWithin(400*time.Millisecond, fmt.Sprintf("after-%d", i)); status != 200 {
			t.Errorf("request %d after the slow phase: status %d", i, status)
		}
	}
}
