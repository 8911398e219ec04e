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

// Answers that a faulty server may give in place of a whole one. A request
// that may be repeated is served by another instance, one that must not gets
// 502, and runs once.
func TestMisleadingAnswers(t *testing.T) {
	faults := map[string]func(w net.Conn, r *http.Request, body string) bool{
		"another request's ID": func(w net.Conn, r *http.Request, _ string) bool {
			r.Header.Set(headers.RequestID, "stranger")
			respond(w, r, 200, "stranger's")
			return true
		},
		"cut body": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get(headers.RequestID))
			return false
		},
		"cut chunk": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf", r.Header.Get(headers.RequestID))
			return false
		},
		"no signature": func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get(headers.RequestID))
			return true
		},
		"no HTTP": func(w net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		},
		"no answer": func(net.Conn, *http.Request, string) bool { return false },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			r := newCluster(t, view, pay)
			entry, bad, good := r.add("dues"), r.add("plots"), r.add("plots")
			bad.setHandler(fault)
			for n := range 6 {
				id := fmt.Sprintf("v%d", n)
				if got := entry.request("GET", "/view/x", id, ""); got.status != 200 || got.body != "run of /view/x " || got.header.Get(headers.RequestID) != id {
					t.Errorf("repeatable: %+v", got)
				}
			}
			before := bad.runs.Load() + good.runs.Load()
			lost := 0
			for n := range 6 {
				got := entry.request("POST", "/pay/x", fmt.Sprintf("p%d", n), "x")
				if got.status != 200 && got.status != 502 {
					t.Errorf("unrepeatable: %+v", got)
				}
				if got.status == 502 {
					lost++
				}
			}
			if ran := bad.runs.Load() + good.runs.Load() - before; ran != 6 {
				t.Errorf("6 unrepeatable requests ran %d times, %d lost", ran, lost)
			}
		})
	}
}

func TestExtraBytesReachNobody(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		respondOK(w, r, body)
		old := r.Clone(r.Context())
		old.Header.Set(headers.RequestID, "late")
		time.Sleep(5 * time.Millisecond)
		respond(w, old, 200, "late answer")
		return true
	})
	for n := range 20 {
		id := fmt.Sprintf("r%d", n)
		got := entry.request("GET", "/view/"+id, id, "")
		if got.status != 200 || got.body != "run of /view/"+id+" " {
			t.Fatalf("request %s got %+v", id, got)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	far.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\n\r\nall of it", r.Header.Get(headers.RequestID))
		return false
	})
	if got := entry.request("GET", "/view/x", "r1", ""); got.status != 200 || got.body != "all of it" {
		t.Errorf("answer %+v", got)
	}
}

func TestLargeAnswerThatIsCutLooksCut(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	large := strings.Repeat("x", 1<<20)
	far.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		respond(w, r, 200, large)
		return true
	})
	if got := entry.request("GET", "/view/x", "r1", ""); got.err != nil || got.body != large {
		t.Fatalf("whole answer: %d bytes, %v", len(got.body), got.err)
	}
	far.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get(headers.RequestID), len(large), large[:len(large)/2])
		return false
	})
	if got := entry.request("GET", "/view/x", "r2", ""); got.err == nil && got.status < 500 {
		t.Errorf("cut answer looks whole: %d, %d bytes", got.status, len(got.body))
	}
}

// A server may answer before it has read a long body and read on later.
func TestEarlyAnswerToALongBody(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	_ = far.l.Close()
	l, err := net.Listen("tcp", far.addr().String())
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
	got := entry.request("POST", "/view/x", "r1", strings.Repeat("x", 900<<10))
	if got.status != 200 || got.body != "early" {
		t.Errorf("answer %d %q %v", got.status, got.body, got.err)
	}
	if got := entry.request("POST", "/view/x", "r2", "short"); got.status != 200 || got.header.Get(headers.RequestID) != "r2" {
		t.Errorf("next answer %+v", got)
	}
}
