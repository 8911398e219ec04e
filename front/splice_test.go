package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// strays are responses to an earlier request, of which a faulty server writes a part once more.
var strays = map[string]string{
	"refusal, mark first": "HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nT-Load: 3,0,8\r\nT-Request: earlier\r\nContent-Length: 0\r\n\r\n",
	"refusal, mark last":  "HTTP/1.1 429 X\r\nContent-Length: 2\r\nT-Load: 3,0,8\r\nT-Request: earlier\r\nT-Not-Run: 1\r\n\r\nno",
	"refusal, no ID":      "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nTrailer: T-Other\r\nContent-Length: 0\r\n\r\n",
	"misdirected":         "HTTP/1.1 421 Misdirected Request\r\nT-Request: earlier\r\nContent-Length: 0\r\n\r\n",
	"success":             "HTTP/1.1 200 OK\r\nT-Signature: s\r\nT-Request: earlier\r\nContent-Length: 4\r\n\r\nbody",
	"interim":             "HTTP/1.1 100 Continue\r\nT-Not-Run: 1\r\n\r\n",
}

// runAnswers are responses to a request that ran, without its ID.
var runAnswers = map[string]string{
	"success": "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
	"chunks":  "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"spaces":  "HTTP/1.1  200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
	"failure": "HTTP/1.1 500 Internal Server Error\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\nfail",
}

// A part of an earlier response, followed by the next one, was read as a response of its own.
func TestSplicedResponseIsBelieved(t *testing.T) {
	for strayName, stray := range strays {
		for answerName, answer := range runAnswers {
			t.Run(strayName+" before "+answerName, func(t *testing.T) {
				t.Parallel()
				testSplices(t, stray, answer)
			})
		}
	}
}

// testSplices tries all beginnings and ends of the stray bytes in front of an answer.
func testSplices(t *testing.T, stray, answer string) {
	route := payRoute
	route.Timeout = 60 * time.Millisecond
	cl := newCluster(t, viewRoute, route)
	// Requests go on using connections that have carried others.
	cl.unsoundTime = 0
	source, target := cl.add("dues"), cl.add("plots")
	var part string
	ran := newRunCounter()
	var used sync.Map
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.URL.Path, "/view/") {
			used.Store(w, true)
			return respondOK(w, r, body)
		}
		ran.add(r.Header.Get(testHeaders.RequestID))
		if _, again := used.LoadOrStore(w, true); again {
			_, _ = io.WriteString(w, part)
		}
		_, _ = fmt.Fprintf(w, answer, r.Header.Get(testHeaders.RequestID))
		return true
	})
	// parts holds the stray bytes before each request, promised the statuses that say that it did not run.
	parts, promised := map[string]string{}, map[string]int{}
	check := func(begin, end int) {
		// The connection has carried a request then. This one may be sent again, if the machine stood still.
		for start := time.Now(); source.request("GET", "/view/x", "v", "").status != 200; {
			if time.Since(start) > 10*time.Second {
				t.Fatal("no request is served")
			}
		}
		part = stray[begin:end]
		id := fmt.Sprintf("p%d", len(parts))
		parts[id] = part
		got := source.request("POST", "/pay/x", id, "x")
		switch {
		case got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421:
			promised[id] = got.status
		case got.status == 200 && (got.body != "done" || strings.Contains(answer, " 500 ")):
			t.Errorf("%q: got status %d and body %q", part, got.status, got.body)
		case got.status == 500 && got.body != "fail":
			t.Errorf("%q: got status %d and body %q", part, got.status, got.body)
		}
	}
	for n := range len(stray) + 1 {
		check(0, n)
		check(n, len(stray))
	}
	time.Sleep(2 * route.Timeout)
	runs := 0
	for id, part := range parts {
		n := ran.of(id)
		runs += n
		if n > 1 || n > 0 && promised[id] != 0 {
			t.Errorf("%q: ran %d times, reported as not run by status %d", part, n, promised[id])
		}
	}
	if runs < len(parts)/2 {
		t.Errorf("%d of %d requests ran, too few to show anything", runs, len(parts))
	}
}

// runCounter counts the runs of requests by their ID.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter {
	return &runCounter{runs: map[string]int{}}
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// A refusal without an ID was believed after a response to another request on a new connection.
func TestUnnamedRefusalAfterAnotherResponseIsBelieved(t *testing.T) {
	cl := newCluster(t, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var ran atomic.Int64
	target.setHandler(func(w net.Conn, _ *http.Request, _ string) bool {
		ran.Add(1)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nT-Request: stranger\r\nT-Signature: s\r\nContent-Length: 0\r\n\r\n")
		refuse(w, "")
		return true
	})
	got := source.request("POST", "/pay/x", "p", "x")
	if got.status != 502 && got.status != 504 || ran.Load() != 1 {
		t.Errorf("ran %d times, response %+v", ran.Load(), got)
	}
}

// Requests that must run once ended with 502 at a server that writes parts of earlier responses.
func TestUnsoundServerLosesNonIdempotentRequests(t *testing.T) {
	cl := newCluster(t, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var used sync.Map
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		if _, again := used.LoadOrStore(w, true); again {
			_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nT-Lo")
		}
		return respondOK(w, r, body)
	})
	failed := 0
	for n := range 40 {
		if got := source.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x"); got.status != 200 {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d of 40 requests failed, 1 before the server is known to be unsound", failed)
	}
}

// The body of a discarded response swallowed the header of the response that was due.
func TestDiscardedBodySwallowsTheResponse(t *testing.T) {
	const earlier = "HTTP/1.1 200 OK\r\nT-Request: earlier\r\nT-Signature: s\r\n"
	for name, stray := range map[string]func(header string) string{
		"length": func(header string) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", earlier, len(header))
		},
		"chunk extension": func(string) string { return earlier + "Transfer-Encoding: chunked\r\n\r\n0;" },
	} {
		t.Run(name, func(t *testing.T) {
			route := payRoute
			route.Timeout = 100 * time.Millisecond
			cl := newCluster(t, route)
			cl.unsoundTime = 0
			source, target := cl.add("dues"), cl.add("plots")
			var used sync.Map
			target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
				id := r.Header.Get(testHeaders.RequestID)
				body := fmt.Sprintf("HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				header := fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n", id, len(body))
				if _, again := used.LoadOrStore(w, true); again {
					_, _ = io.WriteString(w, stray(header))
				}
				_, _ = io.WriteString(w, header+body)
				return true
			})
			for n := range 4 {
				before := target.runs.Load()
				got := source.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x")
				if ran := target.runs.Load() - before; ran != 1 || got.status == 503 {
					t.Errorf("request %d ran %d times, status %d", n, ran, got.status)
				}
			}
		})
	}
}

// A response to no request was taken for the next one, which was lost, and its connection was kept.
func TestUnnamedResponseReplacesTheNextOne(t *testing.T) {
	for _, stray := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nT-Instance: s-i1\r\nT-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
	} {
		cl := newCluster(t, payRoute)
		cl.unsoundTime = 0
		source, target := cl.add("dues"), cl.add("plots")
		var used sync.Map
		target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
			if _, again := used.LoadOrStore(w, true); again {
				_, _ = io.WriteString(w, stray)
				time.Sleep(5 * time.Millisecond)
			}
			return respondOK(w, r, body)
		})
		for n := range 20 {
			if got := source.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x"); got.status != 200 {
				t.Errorf("%q: request %d got status %d", stray, n, got.status)
			}
		}
	}
}

// Idempotent requests took the connections on which bytes of an unsound server waited, and ran again.
func TestIdempotentRequestsRunAgainAtAnUnsoundServer(t *testing.T) {
	const requests = 200
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var used sync.Map
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		if _, again := used.LoadOrStore(w, true); again {
			_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nT-Load: 3,")
		}
		return respondOK(w, r, body)
	})
	for n := range requests {
		if got := source.request("GET", "/view/x", fmt.Sprintf("v%d", n), ""); got.status != 200 {
			t.Errorf("request %d got status %d", n, got.status)
		}
	}
	// The retries of a service are to stay under 0.2 of its requests.
	if runs := target.runs.Load(); runs > requests*12/10 {
		t.Errorf("%d requests ran %d times", requests, runs)
	}
}

// Connections that requests used once filled an unsound server's limit on connections.
func TestConnectionsToAnUnsoundServerPileUp(t *testing.T) {
	cl := newCluster(t, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var first atomic.Bool
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		respondOK(w, r, body)
		if first.CompareAndSwap(false, true) {
			_, _ = io.WriteString(w, "junk")
		}
		return true
	})
	for n := range 40 {
		source.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x")
	}
	if open := target.openConns(); open > 4 {
		t.Errorf("%d connections are open after 40 requests, one after the other", open)
	}
}
