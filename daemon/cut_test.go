package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/platform"
	"sycamorespread.dev/policy"
)

// stopMargin is the time before the end of a stop in which a run need not be completed: the margin of the
// daemon, and the scheduling of the test.
const stopMargin = 400 * time.Millisecond

// obeyDeadlines makes the backend server of n work for the time in the path of a request, but no longer than
// until its deadline.
func (n *httpNode) obeyDeadlines() {
	h := platform.Headers()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.ranIDs.Store(r.Header.Get(h.RequestID), true)
		_, _ = io.Copy(io.Discard, r.Body)
		var route, work string
		_, _ = fmt.Sscanf(r.URL.Path, "/%1s/%s", &route, &work)
		d, err := time.ParseDuration(work)
		if err != nil {
			n.t.Error(err)
		}
		ms, err := strconv.Atoi(r.Header.Get(h.TimeLeft))
		if err != nil {
			n.t.Error(err)
		}
		left := time.Duration(ms) * time.Millisecond
		select {
		case <-time.After(min(d, left)):
		case <-r.Context().Done():
			return
		}
		w.Header().Set(h.Instance, "i-"+n.id)
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		w.Header().Set(h.Signature, "sig")
		if d > left {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		_, _ = io.WriteString(w, "from "+n.id)
	})
	n.fault.Store(&handler)
}

// configureKinds writes a policy with a route to service two, and an idempotent and another one to service one.
func (s *httpCluster) configureKinds() {
	route := func(prefix, service string, idempotent bool) policy.Route {
		return policy.Route{
			Name: "r" + prefix, Host: "h.example", Prefix: prefix, Rank: 1, MaxAttempts: 2, Idempotent: idempotent, Timeout: 8 * time.Second,
			TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: service, Weight: 1}},
		}
	}
	services := []policy.Service{{Name: "one", HealthPath: "/health", MaxConnections: 50}, {Name: "two", HealthPath: "/health", MaxConnections: 50}}
	s.configureRoutes(7, services, route("/x/", "two", false), route("/y/", "one", true), route("/z/", "one", false))
}

// awaitPath polls until a request to n with the path is served.
func (s *httpCluster) awaitPath(n *httpNode, path string) {
	s.t.Helper()
	i := 0
	s.eventually(5*time.Second, path+" is served", func() bool {
		i++
		status, _, _ := n.requestPath(path, time.Second, fmt.Sprintf("await-%s-%s-%d", n.id, path[1:2], i))
		return status == http.StatusOK
	})
}

// review/10: a downstream call that a stopping daemon took was cut at the end of the stop, long before its deadline.
func TestCallThatAStopTakesIsCut(t *testing.T) {
	t.Parallel()
	const end = 4 * time.Second
	s := newHTTPCluster(t)
	s.stopTimeout = end
	s.configureKinds()
	one, two := s.add("one"), s.add("two")
	one.obeyDeadlines()
	two.obeyDeadlines()
	one.setSlots(60)
	s.awaitPath(one, "/x/1ms")
	s.awaitPath(two, "/y/1ms")
	s.awaitPath(two, "/z/1ms")
	var g errgroup.Group
	g.Go(func() error {
		one.requestPath("/x/6s", 8*time.Second, "parent")
		return nil
	})
	s.eventually(time.Second, "the parent runs", func() bool { _, ok := two.ranIDs.Load("parent"); return ok })
	start := time.Now()
	two.stop()
	var taken atomic.Int64
	for at := 500 * time.Millisecond; at < end; at += 100 * time.Millisecond {
		for _, work := range []time.Duration{50 * time.Millisecond, 1600 * time.Millisecond} {
			for _, prefix := range []string{"/y/", "/z/"} {
				g.Go(func() error {
					time.Sleep(at - time.Since(start))
					id := fmt.Sprintf("parent.%d-%d%s", at.Milliseconds(), work.Milliseconds(), prefix[1:2])
					status, _, body := two.requestPath(prefix+work.String(), 5*time.Second, id)
					_, ran := one.ranIDs.Load(id)
					switch inTime := at+work < end-stopMargin; {
					case ran && status == 0:
						t.Errorf("call %s ran and got no response: %s", id, body)
					case ran && inTime && status != http.StatusOK:
						t.Errorf("call %s was taken, could end in time and got status %d", id, status)
					case at < end-1100*time.Millisecond && inTime && !ran:
						t.Errorf("call %s could end in time and was rejected with status %d", id, status)
					case ran:
						taken.Add(1)
					}
					return nil
				})
			}
		}
	}
	_ = g.Wait()
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	if taken.Load() == 0 {
		t.Error("no call was taken")
	}
	two.run()
}

// A request that must run once was lost at the end of a stop of the daemon to which another one had sent it.
func TestRequestAtAStoppingDaemonIsLost(t *testing.T) {
	t.Parallel()
	s := newHTTPCluster(t)
	s.stopDelay = 1500 * time.Millisecond
	s.configureKinds()
	one, two := s.add("one"), s.add("two")
	two.obeyDeadlines()
	s.awaitPath(one, "/x/1ms")
	two.stop()
	time.Sleep(200 * time.Millisecond)
	status, header, _ := one.requestPath("/x/5s", 8*time.Second, "long")
	if status != http.StatusGatewayTimeout || header.Get(platform.Headers().Signature) == "" {
		t.Errorf("status %d without the response of the backend server", status)
	}
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	two.run()
}

// With a stop_wait above stop_most, requests were taken until the end of the stop and cut.
func TestRequestOfTheLastMomentOfAStopIsCut(t *testing.T) {
	t.Parallel()
	s := newHTTPCluster(t)
	s.stopDelay, s.stopTimeout = 3*time.Second, 1500*time.Millisecond
	s.configureKinds()
	one, two := s.add("one"), s.add("two")
	one.obeyDeadlines()
	s.awaitPath(two, "/y/1ms")
	start := time.Now()
	two.stop()
	var g errgroup.Group
	var served atomic.Int64
	for at := time.Duration(0); at < s.stopTimeout; at += 20 * time.Millisecond {
		g.Go(func() error {
			time.Sleep(at - time.Since(start))
			id := fmt.Sprintf("r-%s", at)
			status, _, body := two.requestPath("/y/100ms", 5*time.Second, id)
			if _, ran := one.ranIDs.Load(id); ran && status != http.StatusOK {
				t.Errorf("request %s ran and got status %d %s", id, status, body)
			}
			if status == http.StatusOK {
				served.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	if err := <-two.done; err != nil {
		t.Error(err)
	}
	if served.Load() == 0 {
		t.Error("no request was served")
	}
	two.run()
}
