package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// departed sends a request that crashes the servers that run it, again and again. Its client leaves before the
// server crashes, well before its deadline.
func departed(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "statements", "waitlists", "payments", "payments", "payments", "payments", "payments", "payments", "payments", "payments"}
	servers, err := l.deploy(services...)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var crashes, arrivals []float64
	var back sync.WaitGroup
	ended := false
	// crashing makes a server crash a moment after it has begun to run the request, also if its connection is closed.
	var crashing func(s *server)
	crashing = func(s *server) {
		var once sync.Once
		s.raw = func(_ net.Conn, _ *bufio.Reader, r *http.Request) bool {
			if !strings.HasSuffix(r.URL.Path, "/crash") || r.Header.Get(headerExpect) != s.id {
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, l.since())
			mu.Unlock()
			l.note("server %s begins to run %s, which crashes it", s.id, r.Header.Get(headerID))
			time.Sleep(crashAfter)
			once.Do(func() {
				mu.Lock()
				crashes = append(crashes, l.since())
				n := len(crashes)
				mu.Unlock()
				s.end()
				back.Go(func() {
					time.Sleep(serverBack)
					mu.Lock()
					over := ended
					mu.Unlock()
					if over {
						return
					}
					next := l.server(s.m, fmt.Sprintf("i-7f3b%04x", n), s.service)
					crashing(next)
					if err := next.listen(); err == nil {
						next.beats()
					}
				})
			})
			return true
		}
	}
	for _, s := range servers {
		if s.service == "payments" {
			crashing(s)
		}
	}
	// The clients of the other services go on all the while.
	stop := make(chan struct{})
	var clients, poison sync.WaitGroup
	for i := range 10 {
		m := servers[i%3].m
		clients.Go(func() {
			for {
				l.request(m, http.MethodGet, "waitlists.example", "/wait/1", 2*time.Second, nil)
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	for i := range int(giveUp / again) {
		from := servers[i%2].m
		poison.Go(func() {
			if trouble {
				l.leave(from, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, patience, []byte("dues"))
			} else {
				l.request(from, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, []byte("dues"))
			}
		})
		time.Sleep(again)
	}
	poison.Wait()
	close(stop)
	clients.Wait()
	mu.Lock()
	ended = true
	mu.Unlock()
	back.Wait()
	broken := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at > crashes[2]+stabilityWindow {
			broken++
		}
	}
	l.note("%d arrivals, %d crashes, %d arrivals later than %g s after the third crash", len(arrivals), len(crashes), broken, stabilityWindow)
	if broken <= 3 {
		return 0, nil
	}
	return broken, nil
}

const (
	// giveUp is how long clients leave early, again the time between two of the requests, patience how long their
	// clients wait.
	giveUp   = 5500 * time.Millisecond
	again    = 250 * time.Millisecond
	patience = 100 * time.Millisecond
	// crashAfter is how long a server runs the request until it crashes, serverBack how long it is away.
	crashAfter = 200 * time.Millisecond
	serverBack = 2 * time.Second
)

// stabilityWindow is stability_window_ms of a small deployment, in seconds.
const stabilityWindow = 3.0

// leave sends a request and closes its connection after a while without an answer.
func (l *lab) leave(m *machine, method, host, path string, deadline, after time.Duration, body []byte) {
	id := l.nextID()
	c, err := net.DialTimeout("tcp", l.addr(m.host, portOutbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, host, headerID, id, headerDeadline, deadline.Milliseconds(), len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(after))
	b := make([]byte, 512)
	n, _ := c.Read(b)
	line, _, _ := strings.Cut(string(b[:n]), "\r\n")
	l.note("client on %s: %s %s %s%s: leaves after %d ms, read %q", m.name, id, method, host, path, after.Milliseconds(), line)
}
