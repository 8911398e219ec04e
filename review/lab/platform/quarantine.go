package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// waitServers is the number of servers of the waiting lists. crashing of them crash at the same moment, a
	// share of 0.14, and are back after downTime.
	waitServers = 14
	crashing    = 2
	downTime    = 4500 * time.Millisecond
	// recoverTime is recover_s of the pages.
	recoverTime = 15 * time.Second
	// calmTime is how long requests are counted after that.
	calmTime = 15 * time.Second
	// pageInterval is the time between two requests for the page, and between two statements.
	pageInterval = 150 * time.Millisecond
)

// tally counts the requests of one route and those that were served, before the crash and in the calm after it.
type tally struct {
	mu                     sync.Mutex
	asked, served          int
	calmAsked, calmServed  int
	statuses, calmStatuses map[int]int
}

func newTally() *tally {
	return &tally{statuses: map[int]int{}, calmStatuses: map[int]int{}}
}

func (t *tally) add(a answer, calm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	served := 0
	if a.whole() {
		served = 1
	}
	if calm {
		t.calmAsked++
		t.calmServed += served
		t.calmStatuses[a.status]++
		return
	}
	t.asked++
	t.served += served
	t.statuses[a.status]++
}

// quarantineCase lets two of the servers of the waiting lists that run requests crash at the same moment, once.
// All callers ask for the same page of the waiting lists, whose route a later configuration added.
func quarantineCase(l *lab, trouble bool) (int, error) {
	services := []string{"waitlists", "statements"}
	first := routeConfig{Name: "statement", Host: "dues.example", PathPrefix: "/dues/", Kind: "idempotent", TimeoutMs: 2000, TargetMs: 1500, Priority: 2, Service: "statements", Attempts: 2}
	added := routeConfig{Name: "board", Host: "wait.example", PathPrefix: "/wait/", Kind: "idempotent", TimeoutMs: 4000, TargetMs: 2000, Priority: 1, Service: "waitlists", Attempts: 2}
	l.configure(3, services, []routeConfig{first})
	zones := []string{"a", "b", "c"}
	for n := range waitServers {
		l.add("waitlists", zones[n%len(zones)])
	}
	var entries []*machine
	for _, zone := range zones {
		entries = append(entries, l.add("statements", zone))
	}
	servers, err := l.startAll()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)
	l.configure(5, services, []routeConfig{first, added})
	time.Sleep(4 * time.Second)
	page, statements := newTally(), newTally()
	var g sync.WaitGroup
	var n int
	// ask sends requests for both routes for a time, from one machine after the other.
	ask := func(length time.Duration, calm bool) {
		for begun := time.Now(); time.Since(begun) < length; n++ {
			from, member := entries[n%len(entries)].outbound(), n
			g.Go(func() {
				page.add(sendRequest(l.ctx, l.rec, clientRequest{from: from, method: http.MethodGet, host: added.Host, target: "/wait/board?work=2500", id: newID(), deadline: 6 * time.Second}), calm)
			})
			g.Go(func() {
				statements.add(sendRequest(l.ctx, l.rec, clientRequest{from: from, method: http.MethodGet, host: first.Host, target: fmt.Sprintf("/dues/member-%d?work=100", member), id: newID(), deadline: 2 * time.Second}), calm)
			})
			time.Sleep(pageInterval)
		}
	}
	ask(4*time.Second, false)
	if trouble {
		crashed := slices.Clone(l.machines[:waitServers])
		slices.SortFunc(crashed, func(a, b *machine) int { return int(servers[b].running.Load() - servers[a].running.Load()) })
		crashed = crashed[:crashing]
		for _, m := range crashed {
			l.rec.add("the server at %s crashes while it runs %d requests", m.name, servers[m].running.Load())
		}
		for _, m := range crashed {
			servers[m].crash()
		}
		ask(downTime, false)
		for _, m := range crashed {
			servers[m] = l.newServer(m, "i-"+m.name+"-2")
			if err := servers[m].start(l.ctx); err != nil {
				return exitNotRun, err
			}
		}
	}
	ask(recoverTime, false)
	l.rec.add("from now on requests are sent later than recover_s after the servers are back")
	ask(calmTime, true)
	g.Wait()
	return l.verdictAdded("the page", page, "statements", statements), nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (l *lab) newServer(m *machine, id string) *backend {
	return &backend{rec: l.rec, m: m, service: m.service, id: id, born: time.Now(), slots: 60, heartbeat: 1500 * time.Millisecond}
}
