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

func TestRequestForwardedUnchanged(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	got := source.request("POST", "/view//a%2Fb?x=1&y=%20", "r1", "body")
	if got.err != nil || got.status != 200 || got.body != "run of /view//a/b body" {
		t.Fatalf("response %+v", got)
	}
	if got.header.Get(testHeaders.RequestID) != "r1" || got.header.Get(testHeaders.Signature) != "s" || got.header.Get("Syca-Hop") != "" {
		t.Errorf("header %v", got.header)
	}
	received := target.requests()[0]
	if received.RequestURI != "/view//a%2Fb?x=1&y=%20" || received.Host != "h.example" {
		t.Errorf("target %q of host %q", received.RequestURI, received.Host)
	}
	h := received.Header
	if h.Get(testHeaders.OriginService) != "dues" || h.Get(testHeaders.ExpectedInstance) != "s-i1" || h.Get(testHeaders.RequestID) != "r1" {
		t.Errorf("header received by the server %v", h)
	}
	var left int
	if _, err := fmt.Sscan(h.Get(testHeaders.TimeLeft), &left); err != nil || left < 1 || left > 1000 {
		t.Errorf("time left %q, want 1 to 1000 ms", h.Get(testHeaders.TimeLeft))
	}
}

func TestLocalReplies(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	if got := source.request("GET", "/none/x", "r1", ""); got.status != 404 {
		t.Errorf("response without a route %+v", got)
	}
	if got := source.request("GET", "/view/x", "", ""); got.status != 400 {
		t.Errorf("response without a request ID %+v", got)
	}
	got := source.request("GET", "/view/x", "r2", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get(testHeaders.RequestID) != "r2" {
		t.Errorf("response without an instance %+v", got)
	}
	if got := source.request("POST", "/view/x", "r3", strings.Repeat("x", 2<<20)); got.status != 413 {
		t.Errorf("response to a large body: status %d, error %v", got.status, got.err)
	}
	cl.mu.Lock()
	cl.table = nil
	cl.mu.Unlock()
	got = source.request("GET", "/view/x", "r4", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("response without a policy %+v", got)
	}
}

func TestServerRejectionReportedAsNotRun(t *testing.T) {
	cl := newCluster(t, viewRoute, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
		return true
	})
	for _, path := range []string{"/view/x", "/pay/x"} {
		got := source.request("POST", path, "r1", "")
		if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get(testHeaders.Signature) != "" {
			t.Errorf("path %s: response %+v", path, got)
		}
	}
}

// A backend server that is leaving receives no further requests, not even those already queued
// for it.
func TestNoRequestsToLeavingServer(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	unblock := make(chan struct{})
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		<-unblock
		return respondOK(w, r, body)
	})
	var g errgroup.Group
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range 12 {
		g.Go(func() error {
			got := source.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
			return nil
		})
	}
	for target.gate.Stats().Inflight < 8 {
		time.Sleep(time.Millisecond)
	}
	target.heartbeat("plots", 2, true)
	close(unblock)
	_ = g.Wait()
	if ran := target.runs.Load(); ran > 8 || statuses[200] != int(ran) {
		t.Errorf("%d requests ran, want at most the 8 that were running when the server began to leave; statuses %v", ran, statuses)
	}
	if got := source.request("GET", "/view/x", "late", ""); got.status != 503 || target.runs.Load() > 8 {
		t.Errorf("response after the server left %+v", got)
	}
}

func TestBackendServerReplaced(t *testing.T) {
	cl := newCluster(t, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 X\r\nT-Instance: stranger\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	if got := source.request("POST", "/pay/x", "r1", ""); got.status != 503 {
		t.Errorf("response %+v", got)
	}
	if state := target.keeper.Server().State.String(); state != "down" {
		t.Errorf("server state %s, want down until its next heartbeat", state)
	}
}

func TestTimeoutOfRemoteServer(t *testing.T) {
	shortTimeout := viewRoute
	shortTimeout.Timeout = 150 * time.Millisecond
	cl := newCluster(t, shortTimeout)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(2 * time.Second)
		return false
	})
	began := time.Now()
	got := source.request("GET", "/view/x", "r1", "")
	if took := time.Since(began); got.status != 504 || took > 400*time.Millisecond {
		t.Errorf("status %d after %s", got.status, took)
	}
}

// The timeout must also apply to the local backend server: a request that it never responded to used
// to get no response at all.
func TestTimeoutOfLocalServer(t *testing.T) {
	shortTimeout := payRoute
	shortTimeout.Timeout = 150 * time.Millisecond
	cl := newCluster(t, shortTimeout)
	local := cl.add("plots")
	local.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(1500 * time.Millisecond)
		return false
	})
	began := time.Now()
	got := local.request("POST", "/pay/x", "r1", "")
	if took := time.Since(began); got.status != 504 || took > 400*time.Millisecond {
		t.Errorf("status %d after %s", got.status, took)
	}
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	began, ended := make(chan struct{}, 1), make(chan time.Time, 1)
	target.setHandler(func(w net.Conn, _ *http.Request, _ string) bool {
		began <- struct{}{}
		_, _ = w.Read(make([]byte, 1))
		ended <- time.Now()
		return false
	})
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\n\r\n")
	<-began
	disconnected := time.Now()
	_ = c.Close()
	if took := (<-ended).Sub(disconnected); took > 500*time.Millisecond {
		t.Errorf("connection to the server closed %s after the caller disconnected", took)
	}
}

// A request with both Content-Length and chunked encoding must not smuggle another request.
func TestNoRequestSmuggling(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	smuggled := "GET /view/hidden HTTP/1.1\r\nHost: h.example\r\nT-Request: hidden\r\n\r\n"
	raw := "POST /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 1000\r\nTransfer-Encoding: chunked\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n0\r\n\r\n%s", 5+len(smuggled), smuggled)
	send(c, raw)
	time.Sleep(50 * time.Millisecond)
	for _, received := range target.requests() {
		if received.Header.Get("Content-Length") != "" && received.Header.Get("Transfer-Encoding") != "" {
			t.Errorf("server received both Content-Length and Transfer-Encoding")
		}
		if received.Header.Get(testHeaders.RequestID) == "hidden" && received.URL.Path != "/view/hidden" {
			t.Errorf("smuggled request %v", received)
		}
	}
}

func TestWeightedSplit(t *testing.T) {
	split := viewRoute
	split.WeightedServices = []policy.WeightedService{{Service: "plots", Weight: 9}, {Service: "other", Weight: 1}}
	cl := newCluster(t, split)
	source, plots, other := cl.add("dues"), cl.add("plots"), cl.add("other")
	for n := range 50 {
		source.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
	}
	if a, b := plots.runs.Load(), other.runs.Load(); a != 45 || b != 5 {
		t.Errorf("%d and %d of 50 requests with weights 9 and 1", a, b)
	}
}

// A peer behind a network partition neither responds nor answers probes. An idempotent request
// must be retried elsewhere long before its deadline.
func TestUnresponsivePeer(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, unresponsive, healthy := cl.add("dues"), cl.add("plots"), cl.add("plots")
	unresponsive.setHandler(func(net.Conn, *http.Request, string) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	cl.probe = func(id string) bool { return id != unresponsive.id }
	for n := range 8 {
		began := time.Now()
		got := source.request("GET", "/view/x", fmt.Sprintf("r%d", n), "")
		if took := time.Since(began); got.status != 200 || took > 600*time.Millisecond {
			t.Errorf("request %d: status %d after %s", n, got.status, took)
		}
	}
	if healthy.runs.Load() != 8 || unresponsive.runs.Load() > 1 {
		t.Errorf("%d runs at the healthy instance, %d at the unresponsive one", healthy.runs.Load(), unresponsive.runs.Load())
	}
}

// A downstream call inherits the admission key and the deadline of the request during which it is made.
func TestNestedCallInheritsFromParent(t *testing.T) {
	nested := viewRoute
	nested.Name, nested.Prefix, nested.Rank = "inner", "/inner/", 1
	nested.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	cl := newCluster(t, payRoute, nested)
	source, middle, target := cl.add("dues"), cl.add("plots"), cl.add("other")
	_ = target
	middle.setHandler(func(w net.Conn, req *http.Request, body string) bool {
		id := req.Header.Get(testHeaders.RequestID)
		got := middle.request("GET", "/inner/x", id+".1", "")
		if got.status != 200 {
			t.Errorf("nested call: %+v", got)
		}
		return respondOK(w, req, body)
	})
	if got := source.request("POST", "/pay/x", "r1", ""); got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	received := target.requests()[0]
	if id := received.Header.Get(testHeaders.RequestID); id != "r1.1" {
		t.Errorf("nested ID %q", id)
	}
	if origin := received.Header.Get(testHeaders.OriginService); origin != "plots" {
		t.Errorf("nested origin %q", origin)
	}
}

// A slow run is not abandoned in favor of another instance: that one may shed the request, and the
// response of the slow run still arrives, if late.
func TestSlowRunNotAbandoned(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, slow, fast := cl.add("dues"), cl.add("plots"), cl.add("plots")
	for n := range 10 {
		source.request("GET", "/view/x", fmt.Sprintf("w%d", n), "")
	}
	slow.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		time.Sleep(900 * time.Millisecond)
		return respondOK(w, r, body)
	})
	before := slow.runs.Load() + fast.runs.Load()
	for n := range 4 {
		if got := source.request("GET", "/view/x", fmt.Sprintf("r%d", n), ""); got.status != 200 {
			t.Errorf("request %d: %+v", n, got)
		}
	}
	if ran := slow.runs.Load() + fast.runs.Load() - before; ran != 4 {
		t.Errorf("4 requests ran %d times", ran)
	}
}

// A request that crashes every server that runs it is quarantined after two crashes.
func TestCrashingRequestQuarantined(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	var instances []*instance
	for range 4 {
		i := cl.add("plots")
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			if req.URL.Path != "/view/bad" {
				return respondOK(w, req, body)
			}
			_ = i.listener.Close()
			return false
		})
		instances = append(instances, i)
	}
	for n := range 6 {
		if got := source.request("GET", "/view/bad", fmt.Sprintf("r%d", n), ""); got.status < 500 {
			t.Errorf("response %+v", got)
		}
	}
	runs, down := int64(0), 0
	for _, i := range instances {
		runs += i.runs.Load()
		if i.keeper.Server().State.String() == "down" {
			down++
		}
	}
	if runs > 3 || down != int(runs) {
		t.Errorf("%d runs, %d servers in state down", runs, down)
	}
	if got := source.request("GET", "/view/good", "g", ""); got.status != 200 {
		t.Errorf("response to another request %+v", got)
	}
}

// A partitioned zone may have no instance of a downstream service. Requests that need the service
// must then be shed before they run instead of failing halfway.
func TestNoInstanceOfDownstreamService(t *testing.T) {
	nested := viewRoute
	nested.Name, nested.Prefix, nested.Rank = "inner", "/inner/", 1
	nested.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	cl := newCluster(t, payRoute, nested)
	source, middle := cl.add("dues"), cl.add("plots")
	middle.setHandler(func(w net.Conn, req *http.Request, body string) bool {
		if got := middle.request("GET", "/inner/x", req.Header.Get(testHeaders.RequestID)+".1", ""); got.status != 200 {
			respond(w, req, 500, "")
			return true
		}
		return respondOK(w, req, body)
	})
	statuses := map[int]int{}
	for n := range 20 {
		statuses[source.request("POST", "/pay/x", fmt.Sprintf("r%d", n), "").status]++
	}
	if middle.runs.Load() > 3 || statuses[503] < 17 {
		t.Errorf("%d runs that could not succeed, statuses %v", middle.runs.Load(), statuses)
	}
	cl.add("other")
	// The outbound side keeps a received level for up to one second.
	time.Sleep(1200 * time.Millisecond)
	served := 0
	for n := range 10 {
		if source.request("POST", "/pay/x", fmt.Sprintf("s%d", n), "").status == 200 {
			served++
		}
	}
	if served < 9 {
		t.Errorf("%d of 10 requests served after an instance was added", served)
	}
}

// The log lines of a request name each instance that it was sent to and why it was retried.
func TestAccessLogListsAttempts(t *testing.T) {
	cl := newCluster(t, viewRoute, payRoute)
	source, a, b := cl.add("dues"), cl.add("plots"), cl.add("plots")
	disconnect := func(net.Conn, *http.Request, string) bool { return false }
	a.setHandler(disconnect)
	for n := range 12 {
		source.request("GET", "/view/x", fmt.Sprintf("way-%d", n), "")
	}
	retried := cl.logLines.matching("msg=request", "i1:lost,i2:answered")
	if len(retried) == 0 {
		t.Fatalf("no line lists attempts at two instances: %v", cl.logLines.matching("msg=request"))
	}
	id := retried[0][strings.Index(retried[0], "request=way-"):]
	id = id[:strings.IndexByte(id, ' ')+1]
	if got := cl.logLines.matching(id, "msg=run", "outcome=lost"); len(got) != 1 {
		t.Errorf("lost runs: %v", got)
	}
	if got := cl.logLines.matching(id, "answer of the backend server lost", "err="); len(got) != 1 {
		t.Errorf("lines with the cause: %v", got)
	}
	if got := cl.logLines.matching(id, "msg=run", "outcome=answered", "limit=8", "waited_ms="); len(got) != 1 {
		t.Errorf("answered runs: %v", got)
	}
	b.setHandler(disconnect)
	if source.request("POST", "/pay/x", "lost-pay", ""); len(cl.logLines.matching("request=lost-pay", "msg=request", "status=502", "outcome=lost")) != 1 {
		t.Errorf("lines of the lost payment: %v", cl.logLines.matching("request=lost-pay"))
	}
}

// The Retry-After duration lets the retry complete within the latency target of the route and never
// exceeds the caller's timeout.
func TestRetryAfter(t *testing.T) {
	longTarget, shortTarget := viewRoute, viewRoute
	shortTarget.Name, shortTarget.Prefix, shortTarget.TargetLatency = "hasty", "/hasty/", 50*time.Millisecond
	cl := newCluster(t, longTarget, shortTarget)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
		return true
	})
	seen := map[string]bool{}
	for n := range 20 {
		for path, limit := range map[string]float64{"/view/x": 0.85, "/hasty/x": 1.0} {
			got := source.request("GET", path, fmt.Sprintf("%s%d", path[1:3], n), "")
			var delay float64
			if _, err := fmt.Sscan(got.header.Get("Retry-After"), &delay); err != nil || delay < 0.1 || delay > limit {
				t.Errorf("path %s: status %d, Retry-After %q", path, got.status, got.header.Get("Retry-After"))
			}
			seen[got.header.Get("Retry-After")] = true
		}
	}
	if len(seen) < 20 {
		t.Errorf("%d distinct Retry-After values in 40 responses, want jitter", len(seen))
	}
}
