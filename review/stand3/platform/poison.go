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

const (
	// stabilityWindow is stability_window_ms of a small deployment, in seconds.
	stabilityWindow = 3.0
	// crashAfter is how long a server runs a request that crashes it, serverBack how long it is away.
	crashAfter = 200 * time.Millisecond
	serverBack = 2 * time.Second
)

// poison makes servers crash a moment after they have begun to run a request with a certain path, also if its
// connection is closed.
type poison struct {
	l    *lab
	back sync.WaitGroup

	mu                sync.Mutex
	crashes, arrivals []float64
	ended             bool
}

func newPoison(l *lab, servers []*server) *poison {
	p := &poison{l: l}
	for _, s := range servers {
		p.apply(s)
	}
	return p
}

func (p *poison) apply(s *server) {
	var once sync.Once
	s.raw = func(_ net.Conn, _ *bufio.Reader, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/crash") || r.Header.Get(headerExpect) != s.id {
			return false
		}
		p.mu.Lock()
		p.arrivals = append(p.arrivals, p.l.since())
		p.mu.Unlock()
		p.l.note("server %s (%s) begins to run %s, which crashes it", s.id, s.service, r.Header.Get(headerID))
		time.Sleep(crashAfter)
		once.Do(func() { p.crash(s) })
		return true
	}
}

// payment is the work of a server of payments, of the length that the site file gives it.
func payment(*http.Request, []byte) (int, []byte) {
	time.Sleep(210 * time.Millisecond)
	return http.StatusOK, []byte("paid")
}

// crash ends a server and starts its next incarnation after a while.
func (p *poison) crash(s *server) {
	p.mu.Lock()
	p.crashes = append(p.crashes, p.l.since())
	n := len(p.crashes)
	p.mu.Unlock()
	s.end()
	p.back.Go(func() {
		time.Sleep(serverBack)
		p.mu.Lock()
		ended := p.ended
		p.mu.Unlock()
		if ended {
			return
		}
		next := p.l.server(s.m, fmt.Sprintf("i-7f3b%04x", n), s.service)
		next.work = s.work
		p.apply(next)
		if err := next.listen(); err == nil {
			next.beats()
		}
	})
}

// end returns how many requests reached servers later than stabilityWindow after the third crash, 0 if the rule allows
// their number.
func (p *poison) end() int {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.back.Wait()
	late := 0
	for _, at := range p.arrivals {
		if len(p.crashes) >= 3 && at > p.crashes[2]+stabilityWindow {
			late++
		}
	}
	p.l.note("%d arrivals, %d crashes, %d arrivals later than %g s after the third crash", len(p.arrivals), len(p.crashes), late, stabilityWindow)
	if late <= 3 {
		return 0
	}
	return late
}
