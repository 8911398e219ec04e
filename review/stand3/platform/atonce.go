package main

import (
	"net/http"
	"sync"
	"time"
)

// atOnce sends a request that crashes the servers that run it from all machines of a service, at the same moment or
// one after the other, every 4 s.
func atOnce(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "statements", "statements", "statements", "statements", "statements", "payments", "payments", "payments", "payments", "payments", "payments", "payments", "payments"}
	servers, err := l.deploy(services...)
	if err != nil {
		return 0, err
	}
	for _, s := range servers[6:] {
		s.work = payment
	}
	p := newPoison(l, servers[6:])
	others := newPayers(l, []*machine{servers[0].m, servers[1].m, servers[2].m, servers[3].m})
	for range 4 {
		round := time.Now()
		var clients sync.WaitGroup
		for _, s := range servers[:6] {
			send := func() {
				l.request(s.m, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, []byte("dues"))
			}
			if trouble {
				clients.Go(send)
				continue
			}
			send()
			time.Sleep(500 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(4*time.Second - time.Since(round))
	}
	others.end()
	return p.end(), nil
}
