package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// allKilled sends a request that crashes the servers that run it until it is refused, kills all daemons at the same
// moment, and sends it again once they are back and calm.
func allKilled(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "statements", "payments", "payments", "payments", "payments", "payments", "payments"}
	servers, err := l.deploy(services...)
	if err != nil {
		return 0, err
	}
	for _, s := range servers[2:] {
		s.work = payment
	}
	p := newPoison(l, servers[2:])
	others := newPayers(l, []*machine{servers[0].m, servers[1].m})
	// send lets the request come from both machines of statements at once, and counts the refusals.
	send := func() (refused int) {
		var clients sync.WaitGroup
		var mu sync.Mutex
		for _, s := range servers[:2] {
			clients.Go(func() {
				_, a := l.request(s.m, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, []byte("dues"))
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusServiceUnavailable {
					refused++
				}
			})
		}
		clients.Wait()
		return refused
	}
	for range 3 {
		send()
		time.Sleep(4 * time.Second)
	}
	if send() < 2 {
		return 0, fmt.Errorf("the request is not refused before the disruption")
	}
	if trouble {
		var g sync.WaitGroup
		for _, m := range l.machines {
			g.Go(m.kill)
		}
		g.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, m := range l.machines {
			if err := m.run(false); err != nil {
				return 0, err
			}
		}
		if !l.awaitReady(15 * time.Second) {
			return 0, fmt.Errorf("the daemons did not get ready again")
		}
		l.note("all daemons are back")
	}
	// Longer than stability_window_ms, so that all machines are in touch.
	time.Sleep(5 * time.Second)
	for range 3 {
		send()
		time.Sleep(4 * time.Second)
	}
	others.end()
	return p.end(), nil
}
