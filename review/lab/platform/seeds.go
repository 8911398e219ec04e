package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// zoneMachines is the number of machines of each of the three zones.
	zoneMachines = 10
	// powerOff is how long the machines that come back are without power.
	powerOff = 2 * time.Second
	// freshLease is how old the oldest renewal of a lease in the store may be when the power goes.
	freshLease = 2 * time.Second
	// countTime is how long requests are counted, from recoverTime after the machines are back.
	countTime = 10 * time.Second
)

// kind is a kind of request of the pages: how often it is sent, its service, and the call of its server.
type kind struct {
	routeConfig
	method  string
	perS    float64
	call    string
	calling string
}

// seedKinds are the kinds of the dues platform, with one call each in place of a chain of calls.
func seedKinds() []kind {
	return []kind{
		{routeConfig{"dues-statement", "dues.example", "/dues/", "idempotent", 2000, 1500, 2, "statements", 2}, http.MethodGet, 119, "/ledger/1", "ledger.example"},
		{routeConfig{"dues-payment", "pay.example", "/pay/", "non_idempotent", 2000, 1500, 0, "payments", 2}, http.MethodPost, 54.5, "/register/1", "register.example"},
		{routeConfig{"plot-history", "plots.example", "/plots/", "idempotent", 2000, 1200, 2, "plots", 2}, http.MethodGet, 44.6, "", ""},
		{routeConfig{"waitlist-lookup", "wait.example", "/wait/", "idempotent", 1000, 500, 1, "waitlists", 2}, http.MethodGet, 29.7, "", ""},
		{routeConfig{"ledger-check", "ledger.example", "/ledger/", "idempotent", 1000, 1000, 2, "payments", 2}, http.MethodGet, 0, "", ""},
		{routeConfig{"plot-register", "register.example", "/register/", "idempotent", 1000, 800, 2, "plots", 2}, http.MethodGet, 0, "", ""},
	}
}

// pickKind picks a kind of request by how often the kinds are sent.
func pickKind(kinds []kind) kind {
	sum := 0.0
	for _, k := range kinds {
		sum += k.perS
	}
	at := rand.Float64() * sum
	for _, k := range kinds {
		if at -= k.perS; at < 0 {
			return k
		}
	}
	return kinds[0]
}

// seedsCase lets all machines lose power at the same moment. Those that have a record under a lease in the store
// don't come back, the others do. With TROUBLE=back all come back.
func seedsCase(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "payments", "plots", "waitlists"}
	kinds := seedKinds()
	var routes []routeConfig
	for _, k := range kinds {
		routes = append(routes, k.routeConfig)
	}
	l.configure(3, services, routes)
	zones := []string{"a", "b", "c"}
	for n := range zoneMachines {
		for z, zone := range zones {
			l.add(services[(n+z)%len(services)], zone)
		}
	}
	servers, err := l.startAll()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)
	sent := newTally()
	var g sync.WaitGroup
	// ask sends requests of all kinds to the machines, in no order, for a time.
	ask := func(machines []*machine, length time.Duration, calm bool) {
		for begun := time.Now(); time.Since(begun) < length; {
			k, m := pickKind(kinds), machines[rand.IntN(len(machines))]
			target := fmt.Sprintf("%s%d?work=50", k.PathPrefix, rand.IntN(100000))
			if k.call != "" {
				target += "&callat=10&callhost=" + k.calling + "&call=" + k.call
			}
			g.Go(func() {
				sent.add(sendRequest(l.ctx, l.rec, clientRequest{from: m.outbound(), method: k.method, host: k.Host, target: target, id: newID(), deadline: 2 * time.Second}), calm)
			})
			time.Sleep(20 * time.Millisecond)
		}
	}
	ask(l.machines, 4*time.Second, false)
	for !l.store.renewedWithin(freshLease) {
		ask(l.machines, 200*time.Millisecond, false)
	}
	g.Wait()
	sent.mu.Lock()
	l.rec.add("before: %d of %d requests served, by status %v", sent.served, sent.asked, sent.statuses)
	before := float64(sent.served) / float64(sent.asked)
	sent.mu.Unlock()
	back := l.machines
	if trouble {
		if back, err = l.losePower(servers); err != nil {
			return exitNotRun, err
		}
	}
	ask(back, recoverTime, false)
	l.rec.add("from now on requests are sent later than recover_s after the machines are back")
	ask(back, countTime, true)
	g.Wait()
	l.rec.add("later than recover_s: %d of %d requests served, by status %v", sent.calmServed, sent.calmAsked, sent.calmStatuses)
	if before >= 0.25 && float64(sent.calmServed) < 0.25*float64(sent.calmAsked) {
		l.rec.add("RECOVER: less than a quarter is served, though a quarter or more was before")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// losePower kills all daemons and servers and starts those of the machines that come back, which it returns.
func (l *lab) losePower(servers map[*machine]*backend) ([]*machine, error) {
	lost := map[*machine]bool{}
	if os.Getenv("TROUBLE") != "back" {
		for _, m := range l.machines {
			lost[m] = l.store.hasRecord(m.name)
		}
	}
	for _, m := range l.machines {
		_ = m.cmd.Process.Kill()
	}
	for _, s := range servers {
		s.crash()
	}
	l.rec.add("all machines lose power")
	time.Sleep(powerOff)
	l.first = false
	var back []*machine
	serving := map[string]int{}
	for _, m := range l.machines {
		<-m.exited
		if lost[m] {
			l.rec.add("%s doesn't come back", m.name)
			continue
		}
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := l.newServer(m, "i-"+m.name+"-2").start(l.ctx); err != nil {
			return nil, err
		}
		back = append(back, m)
		serving[m.service]++
	}
	for _, m := range back {
		if !m.awaitReady(10 * time.Second) {
			return nil, fmt.Errorf("daemon %s is not ready", m.name)
		}
	}
	l.rec.add("%d of %d machines are back and ready, with servers %v", len(back), len(l.machines), serving)
	if len(serving) < 4 {
		return nil, fmt.Errorf("a service has no server left: %v", serving)
	}
	return back, nil
}

// renewedWithin reports whether all leases were granted or renewed in the last d.
func (s *kvStore) renewedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.leases {
		if time.Until(until) < s.ttls[id]-d {
			return false
		}
	}
	return len(s.leases) > 0
}

// hasRecord reports whether a key under a lease ends with the name of a machine.
func (s *kvStore) hasRecord(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if it.Lease != 0 && strings.HasSuffix(key, "/"+machine) {
			return true
		}
	}
	return false
}
