package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// clockStep is by how much the clock of one machine is ahead when its server starts.
	clockStep = 2400 * time.Millisecond
	// firstRun is how long this server runs before it crashes, and awayTime until it is back.
	firstRun = 800 * time.Millisecond
	awayTime = 1100 * time.Millisecond
)

// clockCase lets the clock of a machine jump back while its server, which has just started, crashes and starts
// again: the second start has an earlier time than the first.
func clockCase(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "plots"}
	first := routeConfig{Name: "statement", Host: "dues.example", PathPrefix: "/dues/", Kind: "idempotent", TimeoutMs: 2000, TargetMs: 1500, Priority: 2, Service: "statements", Attempts: 2}
	added := routeConfig{Name: "history", Host: "plots.example", PathPrefix: "/plots/", Kind: "idempotent", TimeoutMs: 2000, TargetMs: 1200, Priority: 2, Service: "plots", Attempts: 2}
	l.configure(3, services, []routeConfig{first})
	for _, zone := range []string{"a", "b", "c"} {
		l.add("statements", zone)
	}
	if _, err := l.startAll(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)
	l.configure(5, services, []routeConfig{first, added})
	m := l.add("plots", "a")
	if err := m.start(); err != nil {
		return exitNotRun, err
	}
	if !m.awaitReady(10 * time.Second) {
		return exitNotRun, fmt.Errorf("daemon %s is not ready", m.name)
	}
	s := l.newServer(m, "i-"+m.name+"-1")
	if trouble {
		l.rec.add("the clock of %s is %s ahead while its server starts, and jumps back then", m.name, clockStep)
		s.born = s.born.Add(clockStep)
	}
	if err := s.start(l.ctx); err != nil {
		return exitNotRun, err
	}
	time.Sleep(firstRun)
	s.crash()
	time.Sleep(awayTime)
	s = l.newServer(m, "i-"+m.name+"-2")
	if err := s.start(l.ctx); err != nil {
		return exitNotRun, err
	}
	history, statements := newTally(), newTally()
	var g sync.WaitGroup
	ask := func(length time.Duration, calm bool) {
		n := 0
		for begun := time.Now(); time.Since(begun) < length; n++ {
			from, member := l.machines[n%3].outbound(), n
			g.Go(func() {
				history.add(sendRequest(l.ctx, l.rec, clientRequest{from: from, method: http.MethodGet, host: added.Host, target: fmt.Sprintf("/plots/%d?work=50", member), id: newID(), deadline: 2 * time.Second}), calm)
			})
			g.Go(func() {
				statements.add(sendRequest(l.ctx, l.rec, clientRequest{from: from, method: http.MethodGet, host: first.Host, target: fmt.Sprintf("/dues/%d?work=50", member), id: newID(), deadline: 2 * time.Second}), calm)
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	ask(recoverTime, false)
	l.rec.add("from now on requests are sent later than recover_s after the server is back")
	ask(calmTime, true)
	g.Wait()
	return l.verdictAdded("history", history, "statements", statements), nil
}

// verdictAdded checks that in the calm a route that was added later is served at least a quarter as often as a
// first one.
func (l *lab) verdictAdded(name string, added *tally, firstName string, first *tally) int {
	for _, t := range []struct {
		name string
		*tally
	}{{name + " (added later)", added}, {firstName + " (first route)", first}} {
		l.rec.add("%s: %d of %d served, by status %v; in the calm after it %d of %d, by status %v", t.name, t.served, t.asked, t.statuses, t.calmServed, t.calmAsked, t.calmStatuses)
	}
	late, usual := float64(added.calmServed)/float64(added.calmAsked), float64(first.calmServed)/float64(first.calmAsked)
	if added.calmAsked >= 20 && late < usual/4 {
		l.rec.add("CONFIG: a route that was added later is served less than a quarter as often as the first one")
		return exitBroken
	}
	return exitHeld
}
