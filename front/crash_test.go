package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/life"
)

// popularRunTime is the time that the harmless request of these tests runs.
const popularRunTime = 150 * time.Millisecond

// crashes is a backend server that a request to /view/bad crashes. It comes back under its ID.
type crashes struct {
	*instance
	t      *testing.T
	starts int64
	// bad counts the runs of the request that crashes the server.
	bad atomic.Int64
}

func newCrashes(t *testing.T, i *instance) *crashes {
	c := &crashes{instance: i, t: t}
	i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
		switch {
		case req.URL.Path == "/view/bad", strings.HasPrefix(body, "bad"):
			c.bad.Add(1)
			c.crash()
			return false
		case req.URL.Path == "/view/long":
			c.bad.Add(1)
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 1000000\r\n\r\n%s", req.Header.Get(testHeaders.RequestID), strings.Repeat("x", 400_000))
			time.Sleep(popularRunTime / 3)
			c.crash()
			return false
		case req.URL.Path == "/view/left":
			c.bad.Add(1)
			time.Sleep(popularRunTime / 2)
			c.crash()
			return false
		case req.URL.Path == "/view/popular":
			time.Sleep(popularRunTime)
		}
		return respondOK(w, req, body)
	})
	return c
}

// crash closes the listener and all connections of the server.
func (s *fakeServer) crash() {
	_ = s.currentListener().Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// revive starts the server again at its address, under its ID, if it has crashed.
func (c *crashes) revive() {
	c.t.Helper()
	if c.keeper.Server().State == life.Ready {
		return
	}
	l, err := net.Listen("tcp", c.addr().String())
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	c.g.Go(c.serve)
	c.starts++
	report := newServerReport(c.instance, "s-"+c.id, 1)
	report.StartedAt = report.StartedAt.Add(time.Duration(c.starts) * time.Second)
	c.keeper.HandleReport(report)
	c.syncLoad()
}

// syncLoad waits until the gate has seen the new server.
func (c *crashes) syncLoad() {
	time.Sleep(20 * time.Millisecond)
}

// A request that crashes a server which keeps its ID was never quarantined.
func TestCrashesOfAServerThatKeepsItsIDCountAsOne(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	server := newCrashes(t, cl.add("plots"))
	var last result
	for n := range 6 {
		last = source.request("GET", "/view/bad", fmt.Sprint("r", n), "")
		server.revive()
	}
	if n := server.bad.Load(); n > 3 {
		t.Errorf("the request crashed the server %d times", n)
	}
	if last.status != http.StatusServiceUnavailable {
		t.Errorf("last response %+v", last)
	}
	if got := source.request("GET", "/view/good", "g", ""); got.status != http.StatusOK {
		t.Errorf("response to another request %+v", got)
	}
}

// A harmless request that is in flight at each crash was quarantined with the cause of the crashes.
func TestHarmlessRequestQuarantinedWithACrashingOne(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, other := cl.add("dues"), cl.add("other")
	server := newCrashes(t, cl.add("plots"))
	var popular, bad result
	for n := range 8 {
		var g errgroup.Group
		g.Go(func() error {
			popular = source.request("GET", "/view/popular", fmt.Sprint("p", n), "")
			return nil
		})
		time.Sleep(popularRunTime / 3)
		bad = other.request("GET", "/view/bad", fmt.Sprint("b", n), "")
		_ = g.Wait()
		server.revive()
	}
	if popular.status != http.StatusOK {
		t.Errorf("response to the harmless request %+v", popular)
	}
	if n := server.bad.Load(); n > 3 || bad.status != http.StatusServiceUnavailable {
		t.Errorf("the request crashed the server %d times, last response %+v", n, bad)
	}
}

// All long uploads of a path were quarantined with one that crashes the server.
func TestLongUploadsShareAQuarantine(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	server := newCrashes(t, cl.add("plots"))
	rest := strings.Repeat("x", 200_000)
	for n := range 4 {
		source.request("POST", "/view/upload", fmt.Sprint("b", n), "bad "+rest)
		server.revive()
	}
	if n := server.bad.Load(); n > 3 {
		t.Errorf("the upload crashed the server %d times", n)
	}
	for n := range 2 {
		if got := source.request("POST", "/view/upload", fmt.Sprint("g", n), "good"+rest); got.status != http.StatusOK {
			t.Errorf("response to another upload: status %d", got.status)
		}
	}
}

// A request that crashes servers while its long response is passed on was never quarantined.
func TestCrashInALongResponseIsNotRecorded(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	server := newCrashes(t, cl.add("plots"))
	var last result
	for n := range 6 {
		var g errgroup.Group
		g.Go(func() error {
			source.request("GET", "/view/popular", fmt.Sprint("p", n), "")
			return nil
		})
		last = source.request("GET", "/view/long", fmt.Sprint("r", n), "")
		_ = g.Wait()
		server.revive()
	}
	if n := server.bad.Load(); n > 3 || last.status != http.StatusServiceUnavailable {
		t.Errorf("the request crashed the server %d times, last status %d", n, last.status)
	}
	if got := source.request("GET", "/view/popular", "g", ""); got.status != http.StatusOK {
		t.Errorf("response to another request %+v", got)
	}
}

// A request that crashes servers after its caller has left was never quarantined.
func TestCrashAfterItsCallerLeftIsNotRecorded(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	server := newCrashes(t, cl.add("plots"))
	for n := range 6 {
		var g errgroup.Group
		g.Go(func() error {
			source.request("GET", fmt.Sprint("/view/popular?n=", n), fmt.Sprint("p", n), "")
			return nil
		})
		source.leave("/view/left", fmt.Sprint("l", n), popularRunTime/4)
		_ = g.Wait()
		server.revive()
	}
	if n := server.bad.Load(); n > 3 {
		t.Errorf("the request crashed the server %d times", n)
	}
	if got := source.request("GET", "/view/popular", "g", ""); got.status != http.StatusOK {
		t.Errorf("response to another request %+v", got)
	}
}

// A harmless request was quarantined when it was isolated beside one whose caller had left, since the crash
// was recorded a second time with the former alone.
func TestIsolatedRequestQuarantinedForAnother(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	server := newCrashes(t, cl.add("plots"))
	for n := range 6 {
		var g errgroup.Group
		g.Go(func() error {
			source.request("GET", "/view/popular", fmt.Sprint("p", n), "")
			return nil
		})
		source.leave("/view/left", fmt.Sprint("l", n), popularRunTime/4)
		_ = g.Wait()
		server.revive()
	}
	if got := source.request("GET", "/view/popular", "g", ""); got.status != http.StatusOK {
		t.Errorf("response to the harmless request %+v", got)
	}
}

// leave sends a request and closes its connection after a time.
func (i *instance) leave(target, id string, after time.Duration) {
	c, err := net.Dial("tcp", i.outbound.String())
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nT-Request: %s\r\nT-Left: 1000\r\n\r\n", target, id)
	time.Sleep(after)
	_ = c.Close()
}

// Two servers crashed at the same moment, and the harmless request that both ran was refused from then on.
func TestRequestOfTwoCrashesAtOnceIsRefused(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, other := cl.add("dues"), cl.add("dues")
	one, two := newCrashes(t, cl.add("plots")), newCrashes(t, cl.add("plots"))
	var g errgroup.Group
	for n := range 8 {
		g.Go(func() error {
			[]*instance{source, other}[n%2].request("GET", "/view/popular", fmt.Sprint("p", n), "")
			return nil
		})
	}
	time.Sleep(popularRunTime / 2)
	if one.runs.Load() == 0 || two.runs.Load() == 0 {
		t.Fatal("a server runs no request")
	}
	one.crash()
	two.crash()
	_ = g.Wait()
	// Gossip.
	for _, i := range cl.instances {
		for _, e := range i.Quarantine.Entries() {
			for _, j := range cl.instances {
				if err := j.Quarantine.Merge(e); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	one.revive()
	two.revive()
	cl.syncTables()
	if got := source.request("GET", "/view/popular", "g", ""); got.status != http.StatusOK {
		t.Errorf("response to the harmless request %+v", got)
	}
}
