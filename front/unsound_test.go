package front_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// unsoundServer refuses some requests and runs others. It writes its responses in pieces, some of them
// twice, spoiled, or cut, but refuses no request that it ran.
type unsoundServer struct {
	g errgroup.Group

	mu  sync.Mutex
	rng *rand.Rand
	ran map[string]int
	// written holds the responses on each connection, writing its lock: responses do not overlap.
	written map[net.Conn][]string
	writing map[net.Conn]*sync.Mutex
}

func (s *unsoundServer) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *unsoundServer) ranTimes(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// run records a run and returns the response to it.
func (s *unsoundServer) run(id, body string) string {
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	time.Sleep(time.Duration(s.intn(5)) * time.Millisecond)
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nT-Request: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
	}
	switch s.intn(12) {
	case 0:
		return head(500, "T-Signature: s\r\n")
	case 1:
		return head([]int{503, 429, 408}[s.intn(3)], "T-Signature: s\r\n")
	case 2:
		return head(503, "Retry-After: 1\r\n")
	case 3:
		return head(200, "")
	case 4:
		return strings.Replace(head(200, "T-Signature: s\r\n"), id, "stranger", 1)
	case 5:
		return "HTTP/1.1 100 X\r\n\r\n" + head(200, "T-Signature: s\r\n")
	case 6:
		return "no response\r\n\r\n"
	}
	return head(200, "T-Signature: s\r\n")
}

// refuse returns a refusal. One that is first on its connection may not name its request.
func (s *unsoundServer) refuse(id string, first bool) string {
	var b strings.Builder
	if first && s.intn(4) == 0 {
		id = ""
	}
	refuse(&b, id)
	return b.String()
}

// lock returns the lock for writing to a connection.
func (s *unsoundServer) lock(w net.Conn) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing[w] == nil {
		s.writing[w] = new(sync.Mutex)
	}
	return s.writing[w]
}

// write writes in up to three pieces.
func (s *unsoundServer) write(w net.Conn, raw string) {
	mu := s.lock(w)
	mu.Lock()
	defer mu.Unlock()
	for pieces := s.intn(3); pieces > 0 && len(raw) > 1; pieces-- {
		n := 1 + s.intn(len(raw)-1)
		_, _ = io.WriteString(w, raw[:n])
		raw = raw[n:]
		time.Sleep(time.Duration(s.intn(3)) * time.Millisecond)
	}
	// The connection may be closed by now.
	_, _ = io.WriteString(w, raw)
}

func (s *unsoundServer) handle(w net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get(testHeaders.RequestID)
	s.mu.Lock()
	earlier := s.written[w]
	s.mu.Unlock()
	if len(earlier) > 0 && s.intn(3) == 0 {
		s.write(w, earlier[s.intn(len(earlier))])
	}
	var raw string
	if s.intn(100) < 55 {
		raw = s.refuse(id, len(earlier) == 0)
	} else {
		raw = s.run(id, body)
	}
	s.mu.Lock()
	s.written[w] = append(s.written[w], raw)
	s.mu.Unlock()
	switch s.intn(12) {
	case 0:
		s.write(w, raw[:s.intn(len(raw))])
		return false
	case 1:
		_ = w.(*net.TCPConn).SetLinger(0)
		return false
	case 2, 3:
		s.write(w, raw+raw)
		return true
	case 4, 5:
		s.write(w, raw)
		delay := time.Duration(s.intn(30)) * time.Millisecond
		s.g.Go(func() error {
			time.Sleep(delay)
			s.write(w, raw)
			return nil
		})
		return true
	}
	s.write(w, raw)
	return true
}

func TestRunIsReportedAsNotRun(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			route := payRoute
			route.Timeout = 300 * time.Millisecond
			s := &unsoundServer{rng: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}, written: map[net.Conn][]string{}, writing: map[net.Conn]*sync.Mutex{}}
			// The servers are closed before.
			t.Cleanup(func() { _ = s.g.Wait() })
			cl := newCluster(t, route)
			source, target := cl.add("dues"), cl.add("plots")
			other := cl.add("plots")
			target.setHandler(s.handle)
			other.setHandler(s.handle)
			var g errgroup.Group
			for caller := range 6 {
				g.Go(func() error {
					for n := range 60 {
						id := fmt.Sprintf("c%d-%d", caller, n)
						from := []*instance{source, target}[n%2]
						got := from.request("POST", "/pay/x", id, "body of "+id)
						time.Sleep(time.Millisecond)
						ran := s.ranTimes(id)
						switch got.status {
						case 408, 421, 429, 503:
							if ran > 0 {
								t.Errorf("request %s ran %d times and got status %d", id, ran, got.status)
							}
						case 200:
							if got.err == nil && (got.body != "body of "+id || got.header.Get(testHeaders.RequestID) != id) {
								t.Errorf("request %s got the response %+v", id, got)
							}
						}
						if ran > 1 {
							t.Errorf("request %s ran %d times", id, ran)
						}
					}
					return nil
				})
			}
			_ = g.Wait()
		})
	}
}
