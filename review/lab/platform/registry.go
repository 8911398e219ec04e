package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// holdServers is the number of servers of the service, each with holdSlots.
	holdServers = 4
	holdSlots   = 281
	// crashes is the number of ordinary crashes, one server at a time and crashInterval apart.
	crashes       = 6
	crashInterval = 5 * time.Second
	crashTime     = 4500 * time.Millisecond
	// backTime is when a server is back after the request that crashes it.
	backTime = 2 * time.Second
	// comesAgain is the time between two attempts of the client that sends this request.
	comesAgain = 3 * time.Second
	attempts   = 8
	// stabilityWindow is stability_window_ms of the pages; allowedRetries is what the rule allows after it.
	stabilityWindow = 3 * time.Second
	allowedRetries  = 3
	fatalPath       = "/hold/fatal"
)

// fleet is the servers of one service, which crash and come back.
type fleet struct {
	l  *lab
	mu sync.Mutex
	// up are the servers that run, by machine.
	up map[*machine]*backend
	// fatalAt are the times at which the fatal request reached a server.
	fatalAt []time.Time
	starts  int
	// before, if set, runs before a server crashes at the fatal request.
	before func(w http.ResponseWriter, id string)
}

// launch starts a server beside m.
func (f *fleet) launch(m *machine) error {
	f.mu.Lock()
	f.starts++
	b := f.l.newServer(m, fmt.Sprintf("i-%s-%d", m.name, f.starts))
	b.slots = holdSlots
	b.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != fatalPath {
			return false
		}
		f.mu.Lock()
		f.fatalAt = append(f.fatalAt, time.Now())
		f.mu.Unlock()
		f.l.rec.add("server %s begins to run the fatal request and crashes, with %d others", b.id, b.running.Load())
		if f.before != nil {
			f.before(w, r.Header.Get(headerID))
		}
		go f.crash(m, backTime)
		<-r.Context().Done()
		return true
	}
	f.up[m] = b
	f.mu.Unlock()
	return b.start(f.l.ctx)
}

// crash ends the server beside m; another start of it is back after downTime.
func (f *fleet) crash(m *machine, down time.Duration) {
	f.mu.Lock()
	b := f.up[m]
	delete(f.up, m)
	f.mu.Unlock()
	if b == nil {
		return
	}
	b.crash()
	time.Sleep(down)
	if f.l.ctx.Err() == nil {
		// It fails only if the case has ended.
		_ = f.launch(m)
	}
}

// busiest returns the machine of the server that runs most requests, and their number.
func (f *fleet) busiest() (m *machine, running int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for at, b := range f.up {
		if n := b.running.Load(); m == nil || n > running {
			m, running = at, n
		}
	}
	return m, running
}

// registryCase lets servers crash one after the other under load, and then sends a request that crashes each
// server that runs it. TROUBLE=fatal leaves out the crashes before it.
func registryCase(l *lab, trouble bool) (int, error) {
	f, entries, err := l.newFleet()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)
	load, stop := context.WithCancel(l.ctx)
	defer stop()
	holds := newTally()
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; load.Err() == nil; n++ {
			g.Go(func() {
				holds.add(sendRequest(l.ctx, l.rec, clientRequest{from: entries[n%len(entries)].outbound(), method: http.MethodPost, host: "hold.example", target: fmt.Sprintf("/hold/%d?work=5000", n), id: newID(), deadline: 6 * time.Second, body: []byte("slot")}), false)
			})
			time.Sleep(6 * time.Millisecond)
		}
	})
	time.Sleep(6 * time.Second)
	if trouble && os.Getenv("TROUBLE") != "fatal" {
		for range crashes {
			m, running := f.busiest()
			l.rec.add("the server at %s crashes while it runs %d requests", m.name, running)
			go f.crash(m, crashTime)
			time.Sleep(crashInterval)
		}
	}
	if trouble {
		for n := range attempts {
			sendRequest(l.ctx, l.rec, clientRequest{from: entries[n%len(entries)].outbound(), method: http.MethodGet, host: "view.example", target: fatalPath, id: newID(), deadline: 2 * time.Second})
			time.Sleep(comesAgain)
		}
	}
	stop()
	g.Wait()
	return f.verdict(holds), nil
}

// verdict checks how often the fatal request reached servers after it had crashed the third.
func (f *fleet) verdict(holds *tally) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for n, at := range f.fatalAt {
		if n >= 3 && at.Sub(f.fatalAt[2]) > stabilityWindow {
			late++
		}
	}
	f.l.rec.add("the fatal request crashed %d servers, %d of them later than 3 s after the third", len(f.fatalAt), late)
	f.l.rec.add("holds of other clients: %d, by status %v", holds.asked, holds.statuses)
	if late > allowedRetries {
		f.l.rec.add("BUDGET: more than three retries reached servers later than stability_window_ms after the third crash")
		return exitBroken
	}
	return exitHeld
}

// newFleet starts the servers and their daemons, and one machine in each zone where requests begin.
func (l *lab) newFleet() (*fleet, []*machine, error) {
	l.configure(3, []string{"holds", "calendar"}, []routeConfig{
		{Name: "hold", Host: "hold.example", PathPrefix: "/hold/", Kind: "non_idempotent", TimeoutMs: 6000, TargetMs: 5500, Service: "holds", Attempts: 2},
		{Name: "view", Host: "view.example", PathPrefix: "/hold/", Kind: "idempotent", TimeoutMs: 6000, TargetMs: 5500, Priority: 1, Service: "holds", Attempts: 2},
	})
	zones := []string{"a", "b", "c"}
	f := &fleet{l: l, up: map[*machine]*backend{}}
	var entries []*machine
	for n := range holdServers {
		l.add("holds", zones[n%len(zones)])
	}
	for _, zone := range zones {
		entries = append(entries, l.add("calendar", zone))
	}
	for n, m := range l.machines {
		if err := m.start(); err != nil {
			return nil, nil, err
		}
		if n < holdServers {
			if err := f.launch(m); err != nil {
				return nil, nil, err
			}
			continue
		}
		if err := l.newServer(m, "i-"+m.name+"-1").start(l.ctx); err != nil {
			return nil, nil, err
		}
	}
	for _, m := range l.machines {
		if !m.awaitReady(10 * time.Second) {
			return nil, nil, errors.New("daemon " + m.name + " is not ready")
		}
	}
	return f, entries, nil
}
