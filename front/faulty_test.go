package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// A faulty server sends an invalid or incomplete response. An idempotent request is served by another
// instance; a non-idempotent one gets status 502 and runs once.
func TestFaultyResponses(t *testing.T) {
	faults := map[string]func(w net.Conn, r *http.Request, body string) bool{
		"another request's ID": func(w net.Conn, r *http.Request, _ string) bool {
			r.Header.Set(testHeaders.RequestID, "stranger")
			respond(w, r, 200, "stranger's")
			return true
		},
		"cut body": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get(testHeaders.RequestID))
			return false
		},
		"cut chunk": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf", r.Header.Get(testHeaders.RequestID))
			return false
		},
		"no signature": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get(testHeaders.RequestID))
			return true
		},
		"no HTTP": func(w net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		},
		"no response": func(net.Conn, *http.Request, string) bool { return false },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, viewRoute, payRoute)
			source, faulty, healthy := cl.add("dues"), cl.add("plots"), cl.add("plots")
			faulty.setHandler(fault)
			for n := range 6 {
				id := fmt.Sprintf("v%d", n)
				if got := source.request("GET", "/view/x", id, ""); got.status != 200 || got.body != "run of /view/x " || got.header.Get(testHeaders.RequestID) != id {
					t.Errorf("idempotent: %+v", got)
				}
			}
			before := faulty.runs.Load() + healthy.runs.Load()
			lost := 0
			for n := range 6 {
				got := source.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x")
				if got.status != 200 && got.status != 502 {
					t.Errorf("non-idempotent: %+v", got)
				}
				if got.status == 502 {
					lost++
				}
			}
			if ran := faulty.runs.Load() + healthy.runs.Load() - before; ran != 6 {
				t.Errorf("6 non-idempotent requests ran %d times, %d lost", ran, lost)
			}
		})
	}
}

func TestExtraResponseDiscarded(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		respondOK(w, r, body)
		old := r.Clone(r.Context())
		old.Header.Set(testHeaders.RequestID, "late")
		time.Sleep(5 * time.Millisecond)
		respond(w, old, 200, "late response")
		return true
	})
	for n := range 20 {
		id := fmt.Sprintf("r%d", n)
		got := source.request("GET", "/view/"+id, id, "")
		if got.status != 200 || got.body != "run of /view/"+id+" " {
			t.Fatalf("request %s: response %+v", id, got)
		}
	}
}

func TestResponseWithoutLength(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\n\r\nall of it", r.Header.Get(testHeaders.RequestID))
		return false
	})
	if got := source.request("GET", "/view/x", "r1", ""); got.status != 200 || got.body != "all of it" {
		t.Errorf("response %+v", got)
	}
}

func TestTruncatedLargeResponse(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	large := strings.Repeat("x", 1<<20)
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		respond(w, r, 200, large)
		return true
	})
	if got := source.request("GET", "/view/x", "r1", ""); got.err != nil || got.body != large {
		t.Fatalf("complete response: %d bytes, error %v", len(got.body), got.err)
	}
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get(testHeaders.RequestID), len(large), large[:len(large)/2])
		return false
	})
	if got := source.request("GET", "/view/x", "r2", ""); got.err == nil && got.status < 500 {
		t.Errorf("truncated response taken for complete: status %d, %d bytes", got.status, len(got.body))
	}
}

// The truncated response to a request of HTTP/1.0, which is sent without chunks, looked complete.
func TestTruncatedAnswerLooksCompleteToHTTP10(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n%s\r\n",
			r.Header.Get(testHeaders.RequestID), make([]byte, 0x80000))
		return false
	})
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got := send(c, "GET /view/x HTTP/1.0\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\n\r\n"); got.err == nil {
		t.Errorf("status %d, %d bytes look complete", got.status, len(got.body))
	}
}

// A caller that does not read a long response held its request for good.
func TestCallerThatDoesNotReadHoldsItsRequest(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	large := strings.Repeat("x", 16<<20)
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		respond(w, r, 200, large)
		return true
	})
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprint(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for end := time.Now().Add(8 * time.Second); source.Inflight() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still in flight")
		}
	}
}

// A caller that stops in the middle of a short body got no answer.
func TestCallerThatStopsInItsBodyGetsNoAnswer(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(viewRoute.Timeout + time.Second))
	got := send(c, "POST /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\nContent-Length: 100\r\n\r\nhalf")
	if got.status != http.StatusRequestTimeout {
		t.Errorf("response %+v", got)
	}
}

// A server may respond before it has read a long request body. The response is forwarded, and the
// next request gets its own.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	_ = target.listener.Close()
	l, err := net.Listen("tcp", target.addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			b := make([]byte, 4096)
			n, _ := c.Read(b)
			id := ""
			for _, line := range strings.Split(string(b[:n]), "\r\n") {
				if v, ok := strings.CutPrefix(line, "T-Request: "); ok {
					id = v
				}
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 5\r\n\r\nearly", id)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}
	})
	got := source.request("POST", "/view/x", "r1", strings.Repeat("x", 900<<10))
	if got.status != 200 || got.body != "early" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
	if got := source.request("POST", "/view/x", "r2", "short"); got.status != 200 || got.header.Get(testHeaders.RequestID) != "r2" {
		t.Errorf("next response %+v", got)
	}
}
