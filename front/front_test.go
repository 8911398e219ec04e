package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/policy"
)

func TestRequestReachesTheServerUnchanged(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	got := entry.request("POST", "/view//a%2Fb?x=1&y=%20", "r1", "body")
	if got.err != nil || got.status != 200 || got.body != "run of /view//a/b body" {
		t.Fatalf("answer %+v", got)
	}
	if got.header.Get(headers.RequestID) != "r1" || got.header.Get(headers.Signature) != "s" || got.header.Get("Syca-Hop") != "" {
		t.Errorf("header %v", got.header)
	}
	saw := far.requests()[0]
	if saw.RequestURI != "/view//a%2Fb?x=1&y=%20" || saw.Host != "h.example" {
		t.Errorf("target %q of host %q", saw.RequestURI, saw.Host)
	}
	h := saw.Header
	if h.Get(headers.Origin) != "dues" || h.Get(headers.Expected) != "s-i1" || h.Get(headers.RequestID) != "r1" {
		t.Errorf("header at the server %v", h)
	}
	var left int
	if _, err := fmt.Sscan(h.Get(headers.TimeLeft), &left); err != nil || left < 1 || left > 1000 {
		t.Errorf("time left %q, the route allows 1000 ms", h.Get(headers.TimeLeft))
	}
}

func TestOwnAnswers(t *testing.T) {
	r := newCluster(t, view)
	entry := r.add("dues")
	if got := entry.request("GET", "/none/x", "r1", ""); got.status != 404 {
		t.Errorf("no route: %+v", got)
	}
	if got := entry.request("GET", "/view/x", "", ""); got.status != 400 {
		t.Errorf("no ID: %+v", got)
	}
	got := entry.request("GET", "/view/x", "r2", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get(headers.RequestID) != "r2" {
		t.Errorf("no instance: %+v", got)
	}
	if got := entry.request("POST", "/view/x", "r3", strings.Repeat("x", 2<<20)); got.status != 413 {
		t.Errorf("large body: %d %v", got.status, got.err)
	}
	r.mu.Lock()
	r.table = nil
	r.mu.Unlock()
	got = entry.request("GET", "/view/x", "r4", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("no policy: %+v", got)
	}
}

func TestServerRefusalIsSaidAsNotRun(t *testing.T) {
	r := newCluster(t, view, pay)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headers.RequestID))
		return true
	})
	for _, path := range []string{"/view/x", "/pay/x"} {
		got := entry.request("POST", path, "r1", "")
		if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get(headers.Signature) != "" {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// Once the server said that it leaves, nothing reaches it, not even what was
// already waiting for a slot.
func TestLeavingServerGetsNothing(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	hold := make(chan struct{})
	far.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		<-hold
		return respondOK(w, r, body)
	})
	var g errgroup.Group
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 12 {
		g.Go(func() error {
			got := entry.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
			return nil
		})
	}
	for far.gate.Stats().Inflight < 8 {
		time.Sleep(time.Millisecond)
	}
	far.heartbeat("plots", 2, true)
	close(hold)
	_ = g.Wait()
	if ran := far.runs.Load(); ran > 8 || statuses[200] != int(ran) {
		t.Errorf("%d ran of which 8 were running when the server left; answers %v", ran, statuses)
	}
	if got := entry.request("GET", "/view/x", "late", ""); got.status != 503 || far.runs.Load() > 8 {
		t.Errorf("after the leave: %+v", got)
	}
}

func TestAnotherServerAtTheAddress(t *testing.T) {
	r := newCluster(t, pay)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(w net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 X\r\nT-Instance: stranger\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	if got := entry.request("POST", "/pay/x", "r1", ""); got.status != 503 {
		t.Errorf("answer %+v", got)
	}
	if state := far.keeper.Server().State.String(); state != "down" {
		t.Errorf("the server is %s, want down until it says what it is", state)
	}
}

func TestAnswerComesAtTheTimeout(t *testing.T) {
	short := view
	short.Timeout = 150 * time.Millisecond
	r := newCluster(t, short)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(2 * time.Second)
		return false
	})
	began := time.Now()
	got := entry.request("GET", "/view/x", "r1", "")
	if took := time.Since(began); got.status != 504 || took > 400*time.Millisecond {
		t.Errorf("status %d after %s", got.status, took)
	}
}

// The backend server beside the entry is no exception: a request that it holds
// was never answered.
func TestAnswerOfTheOwnServerComesAtTheTimeout(t *testing.T) {
	short := pay
	short.Timeout = 150 * time.Millisecond
	r := newCluster(t, short)
	own := r.add("plots")
	own.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(1500 * time.Millisecond)
		return false
	})
	began := time.Now()
	got := own.request("POST", "/pay/x", "r1", "")
	if took := time.Since(began); got.status != 504 || took > 400*time.Millisecond {
		t.Errorf("status %d after %s", got.status, took)
	}
}

func TestCallerThatLeavesStopsTheRun(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	began, ended := make(chan struct{}, 1), make(chan time.Time, 1)
	far.setHandler(func(w net.Conn, _ *http.Request, _ string) bool {
		began <- struct{}{}
		_, _ = w.Read(make([]byte, 1))
		ended <- time.Now()
		return false
	})
	c, err := net.Dial("tcp", entry.out.String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\n\r\n")
	<-began
	left := time.Now()
	_ = c.Close()
	if took := (<-ended).Sub(left); took > 500*time.Millisecond {
		t.Errorf("the server's connection ended %s after the caller left", took)
	}
}

// A request that carries both a length and chunks must not hide another one.
func TestNoRequestInsideAnother(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	c, err := net.Dial("tcp", entry.out.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	hidden := "GET /view/hidden HTTP/1.1\r\nHost: h.example\r\nT-Request: hidden\r\n\r\n"
	raw := "POST /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 1000\r\nTransfer-Encoding: chunked\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n0\r\n\r\n%s", 5+len(hidden), hidden)
	send(c, raw)
	time.Sleep(50 * time.Millisecond)
	for _, saw := range far.requests() {
		if saw.Header.Get("Content-Length") != "" && saw.Header.Get("Transfer-Encoding") != "" {
			t.Errorf("both framings reached the server")
		}
		if saw.Header.Get(headers.RequestID) == "hidden" && saw.URL.Path != "/view/hidden" {
			t.Errorf("smuggled request %v", saw)
		}
	}
}

func TestWeightsAreKept(t *testing.T) {
	split := view
	split.WeightedServices = []policy.WeightedService{{Service: "plots", Weight: 9}, {Service: "other", Weight: 1}}
	r := newCluster(t, split)
	entry, plots, other := r.add("dues"), r.add("plots"), r.add("other")
	for n := range 50 {
		entry.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
	}
	if a, b := plots.runs.Load(), other.runs.Load(); a != 45 || b != 5 {
		t.Errorf("%d and %d of 50 requests by weights 9 and 1", a, b)
	}
}

// A peer behind a cut neither answers nor can be probed: a request that may be
// repeated goes elsewhere long before its deadline.
func TestSilentPeer(t *testing.T) {
	r := newCluster(t, view)
	entry, dead, good := r.add("dues"), r.add("plots"), r.add("plots")
	dead.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	r.probe = func(id string) bool { return id != dead.id }
	for n := range 8 {
		began := time.Now()
		got := entry.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
		if took := time.Since(began); got.status != 200 || took > 600*time.Millisecond {
			t.Errorf("request %d: status %d after %s", n, got.status, took)
		}
	}
	if good.runs.Load() != 8 || dead.runs.Load() > 1 {
		t.Errorf("%d runs at the good instance, %d at the silent one", good.runs.Load(), dead.runs.Load())
	}
}

// Calls that a run makes carry the importance and the deadline of the run.
func TestCallsInheritFromTheirRun(t *testing.T) {
	inner := view
	inner.Name, inner.Prefix, inner.Rank = "inner", "/inner/", 1
	inner.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	r := newCluster(t, pay, inner)
	entry, mid, far := r.add("dues"), r.add("plots"), r.add("other")
	_ = far
	mid.setHandler(func(w net.Conn, req *http.Request, body string) bool {
		id := req.Header.Get(headers.RequestID)
		got := mid.request("GET", "/inner/x", id+".1", "")
		if got.status != 200 {
			t.Errorf("inner call: %+v", got)
		}
		return respondOK(w, req, body)
	})
	if got := entry.request("POST", "/pay/x", "r1", ""); got.status != 200 {
		t.Fatalf("answer %+v", got)
	}
	saw := far.requests()[0]
	if id := saw.Header.Get(headers.RequestID); id != "r1.1" {
		t.Errorf("inner ID %q", id)
	}
	if origin := saw.Header.Get(headers.Origin); origin != "plots" {
		t.Errorf("inner origin %q", origin)
	}
}

// A run in progress is not given up for being slow: elsewhere it may be
// refused, and its answer is delivered late.
func TestSlowRunIsNotGivenUp(t *testing.T) {
	r := newCluster(t, view)
	entry, slow, good := r.add("dues"), r.add("plots"), r.add("plots")
	for n := range 10 {
		entry.request("GET", "/view/x", fmt.Sprintf("w%d", n), "")
	}
	slow.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		time.Sleep(900 * time.Millisecond)
		return respondOK(w, r, body)
	})
	before := slow.runs.Load() + good.runs.Load()
	for n := range 4 {
		if got := entry.request("GET", "/view/x", fmt.Sprintf("r%d", n), ""); got.status != 200 {
			t.Errorf("request %d: %+v", n, got)
		}
	}
	if ran := slow.runs.Load() + good.runs.Load() - before; ran != 4 {
		t.Errorf("4 requests ran %d times", ran)
	}
}

// A request that crashes each server that runs it is refused after two.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	r := newCluster(t, view)
	entry := r.add("dues")
	var crashed []*instance
	for range 4 {
		i := r.add("plots")
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			if req.URL.Path != "/view/bad" {
				return respondOK(w, req, body)
			}
			_ = i.l.Close()
			return false
		})
		crashed = append(crashed, i)
	}
	for n := range 6 {
		if got := entry.request("GET", "/view/bad", fmt.Sprintf("r%d", n), ""); got.status < 500 {
			t.Errorf("answer %+v", got)
		}
	}
	runs, down := int64(0), 0
	for _, i := range crashed {
		runs += i.runs.Load()
		if i.keeper.Server().State.String() == "down" {
			down++
		}
	}
	if runs > 3 || down != int(runs) {
		t.Errorf("%d runs, %d servers are known to be down", runs, down)
	}
	if got := entry.request("GET", "/view/good", "g", ""); got.status != 200 {
		t.Errorf("another request: %+v", got)
	}
}

// A zone that is cut off may have no instance of a deep service. Requests that
// need it are then refused before they run, in place of failing halfway.
func TestNoInstanceOfADeeperService(t *testing.T) {
	inner := view
	inner.Name, inner.Prefix, inner.Rank = "inner", "/inner/", 1
	inner.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	r := newCluster(t, pay, inner)
	entry, mid := r.add("dues"), r.add("plots")
	mid.setHandler(func(w net.Conn, req *http.Request, body string) bool {
		if got := mid.request("GET", "/inner/x", req.Header.Get(headers.RequestID)+".1", ""); got.status != 200 {
			respond(w, req, 500, "")
			return true
		}
		return respondOK(w, req, body)
	})
	statuses := map[int]int{}
	for n := range 20 {
		statuses[entry.request("POST", "/pay/x", fmt.Sprintf("r%d", n), "").status]++
	}
	if mid.runs.Load() > 3 || statuses[503] < 17 {
		t.Errorf("%d runs that could not end well, answers %v", mid.runs.Load(), statuses)
	}
	r.add("other")
	// The entry holds the level that it heard for up to a second.
	time.Sleep(1200 * time.Millisecond)
	served := 0
	for n := range 10 {
		if entry.request("POST", "/pay/x", fmt.Sprintf("s%d", n), "").status == 200 {
			served++
		}
	}
	if served < 9 {
		t.Errorf("%d of 10 served once there is an instance", served)
	}
}

// The lines of one request tell each instance it was sent to and why it went
// on from there.
func TestLogTellsTheWayOfARequest(t *testing.T) {
	r := newCluster(t, view, pay)
	entry, a, b := r.add("dues"), r.add("plots"), r.add("plots")
	bad := func(net.Conn, *http.Request, string) bool { return false }
	a.setHandler(bad)
	for n := range 12 {
		entry.request("GET", "/view/x", fmt.Sprintf("way-%d", n), "")
	}
	moved := r.logLines.matching("msg=request", "i1:lost,i2:answered")
	if len(moved) == 0 {
		t.Fatalf("no line tells of a send to two instances: %v", r.logLines.matching("msg=request"))
	}
	id := moved[0][strings.Index(moved[0], "request=way-"):]
	id = id[:strings.IndexByte(id, ' ')+1]
	if got := r.logLines.matching(id, "msg=run", "outcome=lost"); len(got) != 1 {
		t.Errorf("runs that were lost: %v", got)
	}
	if got := r.logLines.matching(id, "answer of the backend server lost", "err="); len(got) != 1 {
		t.Errorf("causes: %v", got)
	}
	if got := r.logLines.matching(id, "msg=run", "outcome=answered", "limit=8", "waited_ms="); len(got) != 1 {
		t.Errorf("runs that were answered: %v", got)
	}
	b.setHandler(bad)
	if entry.request("POST", "/pay/x", "lost-pay", ""); len(r.logLines.matching("request=lost-pay", "msg=request", "status=502", "outcome=lost")) != 1 {
		t.Errorf("lines of a lost payment: %v", r.logLines.matching("request=lost-pay"))
	}
}

// A refused caller is told to return inside the target of the route, and never
// later than it would wait.
func TestPauseOfARefusedCaller(t *testing.T) {
	patient, hasty := view, view
	hasty.Name, hasty.Prefix, hasty.TargetLatency = "hasty", "/hasty/", 50*time.Millisecond
	r := newCluster(t, patient, hasty)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headers.RequestID))
		return true
	})
	seen := map[string]bool{}
	for n := range 20 {
		for path, most := range map[string]float64{"/view/x": 0.85, "/hasty/x": 1.0} {
			got := entry.request("GET", path, fmt.Sprintf("%s%d", path[1:3], n), "")
			var after float64
			if _, err := fmt.Sscan(got.header.Get("Retry-After"), &after); err != nil || after < 0.1 || after > most {
				t.Errorf("%s: status %d, pause %q", path, got.status, got.header.Get("Retry-After"))
			}
			seen[got.header.Get("Retry-After")] = true
		}
	}
	if len(seen) < 20 {
		t.Errorf("%d different pauses of 40: the returns come at once", len(seen))
	}
}
