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
)

// refuse writes a refusal of a request, with the fields that identify it.
func refuse(w io.Writer, id string) {
	field := ""
	if id != "" {
		field = "T-Request: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\n%sT-Not-Run: 1\r\nT-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n", field)
}

// repeatedRefusals is a handler of a server that refuses each request once and writes the refusal
// again where the response to the next request on the connection is due.
type repeatedRefusals struct {
	mu      sync.Mutex
	refused map[string]bool
	ran     map[string]int
	last    map[net.Conn]string
	// withID is set if refusals name their request.
	withID bool
}

func (s *repeatedRefusals) handle(w net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get(testHeaders.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	named := func(id string) string {
		if s.withID {
			return id
		}
		return ""
	}
	if last, ok := s.last[w]; ok {
		refuse(w, named(last))
		delete(s.last, w)
		time.Sleep(5 * time.Millisecond)
	}
	if !s.refused[id] {
		s.refused[id] = true
		s.last[w] = id
		// The first refusal always names its request.
		refuse(w, id)
		return true
	}
	s.ran[id]++
	return respondOK(w, r, body)
}

func TestRepeatedRefusalIsTakenForARefusal(t *testing.T) {
	for _, c := range []struct {
		withID, idempotent bool
	}{{true, false}, {false, false}, {true, true}, {false, true}} {
		t.Run(fmt.Sprintf("with ID %t, idempotent %t", c.withID, c.idempotent), func(t *testing.T) {
			cl := newCluster(t, payRoute, viewRoute)
			method, path := "POST", "/pay/x"
			if c.idempotent {
				method, path = "GET", "/view/x"
			}
			source, target, other := cl.add("dues"), cl.add("plots"), cl.add("plots")
			ran := map[string]int{}
			for _, i := range []*instance{target, other} {
				i.setHandler((&repeatedRefusals{refused: map[string]bool{}, ran: ran, last: map[net.Conn]string{}, withID: c.withID}).handle)
			}
			for n := range 40 {
				id := fmt.Sprintf("p%d", n)
				got := source.request(method, path, id, "")
				if got.status == 503 && ran[id] > 0 {
					t.Errorf("request %s ran and was reported as not run", id)
				}
				if ran[id] > 1 {
					t.Errorf("request %s ran %d times", id, ran[id])
				}
			}
			if len(ran) == 0 {
				t.Error("no request ran")
			}
		})
	}
}

func TestRefusedIdempotentRequestsNeedNewConnections(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var refused sync.Map
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get(testHeaders.RequestID)
		if _, again := refused.LoadOrStore(id, true); !again {
			refuse(w, id)
			return true
		}
		return respondOK(w, r, body)
	})
	for n := range 40 {
		if got := source.request("GET", "/view/x", fmt.Sprintf("v%d", n), ""); got.status != 200 {
			t.Errorf("response %+v", got)
		}
	}
	if dials := target.ServerPool.Dials(); dials > 4 {
		t.Errorf("%d connections to the server for 40 requests, one after the other", dials)
	}
}

func TestTruncatedHeaderIsTakenForAResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 12\r\nT-Request: %s\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\n\r\n",
		"close":     "HTTP/1.1 200 OK\r\nT-Request: %s\r\nConnection: close\r\nT-Signature: s\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, payRoute)
			source, target := cl.add("dues"), cl.add("plots")
			cut := 0
			target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
				raw := fmt.Sprintf(head, r.Header.Get(testHeaders.RequestID))
				_, _ = io.WriteString(w, raw[:cut])
				return false
			})
			// All cuts up to the one that leaves out the end of the header.
			for cut = range len(strings.Replace(head, "%s", "c", 1)) - 1 {
				if got := source.request("POST", "/pay/x", "c", "x"); got.status != 502 || got.err != nil {
					t.Fatalf("cut at %d: response %+v", cut, got)
				}
			}
		})
	}
}
