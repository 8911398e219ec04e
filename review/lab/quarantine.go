package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// tally counts the requests of one kind and those that were served.
type tally struct {
	mu                sync.Mutex
	asked, served     int
	lateAsk, lateServ int
}

func (t *tally) add(served, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if served {
		t.served++
	}
	if late {
		t.lateAsk++
		if served {
			t.lateServ++
		}
	}
}

const (
	// waitServers is the number of servers of the waiting lists; crashing of them crash.
	waitServers = 2
	crashing    = 2
	// downTime is how long they are down.
	downTime = 4500 * time.Millisecond
)

// quarantineCase lets two of the servers of the waiting lists crash at the same moment, once.
func quarantineCase(l *lab, trouble bool) (int, error) {
	l.configure(3, []string{"waitlists", "statements"}, []routeConfig{
		{Name: "lookup", Host: "wait.example", PathPrefix: "/wait/", Kind: "idempotent", TimeoutMs: 800, TargetMs: 250, Priority: 1, Service: "waitlists", Attempts: 2},
		{Name: "statement", Host: "dues.example", PathPrefix: "/dues/", Kind: "idempotent", TimeoutMs: 1000, TargetMs: 1500, Priority: 2, Service: "statements", Attempts: 2},
	})
	for n := range waitServers {
		l.add("waitlists", []string{"a", "b", "c"}[n%3])
	}
	st := l.add("statements", "c")
	servers, err := l.startAll()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(4 * time.Second)
	var lookups, statements tally
	var recovered atomic.Bool
	var g sync.WaitGroup
	begun := time.Now()
	const length = 45 * time.Second
	g.Go(func() {
		for n := 0; time.Since(begun) < length; n++ {
			g.Go(func() {
				late := recovered.Load()
				a := sendRequest(l.ctx, l.rec, clientRequest{from: st.outbound(), method: http.MethodGet, host: "wait.example", target: "/wait/board?work=300", id: newID(), deadline: 800 * time.Millisecond})
				lookups.add(a.whole(), late)
			})
			g.Go(func() {
				late := recovered.Load()
				a := sendRequest(l.ctx, l.rec, clientRequest{from: st.outbound(), method: http.MethodGet, host: "dues.example", target: fmt.Sprintf("/dues/member-%d?work=100", n), id: newID(), deadline: 2 * time.Second})
				statements.add(a.whole(), late)
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(5 * time.Second)
	if trouble {
		for _, m := range l.machines[:crashing] {
			servers[m].crash()
		}
		time.Sleep(downTime)
		for _, m := range l.machines[:crashing] {
			servers[m] = l.newServer(m, "i-"+m.name+"-2")
			if err := servers[m].start(l.ctx); err != nil {
				return exitNotRun, err
			}
		}
	}
	time.Sleep(15 * time.Second)
	recovered.Store(true)
	l.rec.add("from now on requests are sent later than recover_s (15 s) after the servers are back")
	g.Wait()
	l.rec.add("lookups: %d of %d served, of the later ones %d of %d", lookups.served, lookups.asked, lookups.lateServ, lookups.lateAsk)
	l.rec.add("statements: %d of %d served, of the later ones %d of %d", statements.served, statements.asked, statements.lateServ, statements.lateAsk)
	all := float64(lookups.served+statements.served) / float64(lookups.asked+statements.asked)
	share := float64(lookups.served) / float64(lookups.asked)
	l.rec.add("served: %.3f of the lookups, %.3f of all requests", share, all)
	if share < all/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (l *lab) newServer(m *machine, id string) *backend {
	return &backend{rec: l.rec, m: m, service: m.service, id: id, born: time.Now(), slots: 60, heartbeat: 1500 * time.Millisecond}
}
