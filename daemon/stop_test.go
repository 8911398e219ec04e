package daemon_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// newTrio returns a cluster with an instance of a service, whose route leads to the three of another one.
func newTrio(t *testing.T) (one *httpNode, two []*httpNode) {
	t.Helper()
	s := newHTTPCluster(t)
	s.stopDelay, s.stopTimeout = 2500*time.Millisecond, 6*time.Second
	s.configure(7, "two")
	one = s.add("one")
	two = []*httpNode{s.add("two"), s.add("two"), s.add("two")}
	for _, n := range two {
		n.delay.Store(int64(300 * time.Millisecond))
		s.eventually(5*time.Second, "ready", n.isReady)
	}
	s.eventually(5*time.Second, "all servers are in use", func() bool {
		one.request(fmt.Sprintf("first-%d", time.Now().UnixNano()))
		return two[0].runs.Load() > 0 && two[1].runs.Load() > 0 && two[2].runs.Load() > 0
	})
	return one, two
}

// offerRate sends requests to n at a rate per second until the returned function is called, which
// returns how many were sent and how many were served.
func offerRate(n *httpNode, perSecond int) (stop func() (sent, served int64)) {
	var g errgroup.Group
	var stopped atomic.Bool
	var sent, served atomic.Int64
	g.Go(func() error {
		for start := time.Now(); !stopped.Load(); time.Sleep(time.Until(start.Add(time.Duration(sent.Load()) * time.Second / time.Duration(perSecond)))) {
			id := fmt.Sprintf("rate-%d", sent.Add(1))
			g.Go(func() error {
				if status, _, _ := n.request(id); status == http.StatusOK {
					served.Add(1)
				}
				return nil
			})
		}
		return nil
	})
	return func() (int64, int64) {
		stopped.Store(true)
		_ = g.Wait()
		return sent.Load(), served.Load()
	}
}

// Each server runs 10 requests a second, so that two of the three have capacity for all.
func TestRequestsAreShedWhileDaemonsRestart(t *testing.T) {
	t.Parallel()
	one, two := newTrio(t)
	finish := offerRate(one, 18)
	time.Sleep(time.Second)
	for _, group := range [][]*httpNode{two[:2], two[2:]} {
		var g errgroup.Group
		for _, n := range group {
			g.Go(func() error {
				n.stop()
				err := <-n.done
				n.run()
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	}
	if sent, served := finish(); float64(served) < 0.98*float64(sent) {
		t.Errorf("%d of %d requests were served", served, sent)
	}
}

// While a request of its caller is in flight, a daemon still has to run, and its server has room.
func TestStoppingDaemonRejectsCallsBeforeItsEnd(t *testing.T) {
	t.Parallel()
	s := newHTTPCluster(t)
	s.stopTimeout = 6 * time.Second
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	s.awaitServed(5*time.Second, two, "two")
	two.delay.Store(int64(1200 * time.Millisecond))
	var g errgroup.Group
	runs := two.runs.Load()
	g.Go(func() error {
		if status, _, body := two.request("long"); status != http.StatusOK {
			t.Errorf("request of a caller in flight: status %d %s", status, body)
		}
		return nil
	})
	s.eventually(time.Second, "the request runs", func() bool { return two.runs.Load() > runs })
	two.delay.Store(0)
	start := time.Now()
	two.stop()
	for n := 0; time.Since(start) < time.Second; n++ {
		if status, _, body := one.request(fmt.Sprintf("other-%d", n)); status != http.StatusOK {
			t.Fatalf("%s after the stop: status %d %s", time.Since(start), status, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	_ = g.Wait()
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	two.run()
}

// A daemon that will have ended before the deadline of a call might not finish it.
func TestStoppingDaemonTakesOnlyCallsThatItFinishes(t *testing.T) {
	t.Parallel()
	s := newHTTPCluster(t)
	s.stopTimeout = 2 * time.Second
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	s.awaitServed(5*time.Second, two, "two")
	two.delay.Store(int64(time.Second))
	var g errgroup.Group
	runs := two.runs.Load()
	g.Go(func() error {
		two.request("long")
		return nil
	})
	s.eventually(time.Second, "the request runs", func() bool { return two.runs.Load() > runs })
	two.delay.Store(0)
	two.stop()
	time.Sleep(s.stopDelay + 100*time.Millisecond)
	if status, _, body := one.requestWithin(500*time.Millisecond, "short"); status != http.StatusOK {
		t.Errorf("deadline before the end: status %d %s", status, body)
	}
	// The deadline is that of the route.
	if status, _, body := one.request("late"); status != http.StatusServiceUnavailable {
		t.Errorf("deadline after the end: status %d %s", status, body)
	}
	if _, ran := two.ranIDs.Load("late"); ran {
		t.Error("the rejected call ran")
	}
	_ = g.Wait()
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	two.run()
}

func TestTwoServersOfAServiceAreAwayAtOnce(t *testing.T) {
	t.Parallel()
	one, two := newTrio(t)
	first, second := two[0], two[1]
	first.stop()
	second.stop()
	var err error
	select {
	case err = <-first.done:
	case err = <-second.done:
		first, second = second, first
	}
	if err != nil {
		t.Error(err)
	}
	time.Sleep(500 * time.Millisecond)
	if len(second.done) > 0 {
		t.Errorf("%s ended while %s was away", second.id, first.id)
	}
	first.run()
	one.eventually(5*time.Second, "ready", first.isReady)
	if err := <-second.done; err != nil {
		t.Error(err)
	}
	second.run()
}
