package main

import (
	"net/http"
	"sync"
	"time"
)

// drainTime is drain_ms of a small deployment.
const drainTime = 2.0

// lateLeave takes a server away that has just started again, beside a daemon that has not had its first heartbeat
// yet. That heartbeat arrives after the daemon has acknowledged the deregistration.
func lateLeave(l *lab, trouble bool) (int, error) {
	// One of seven servers of payments is within the share of a crash and of a scale-in.
	servers, err := l.deploy("statements", "payments", "payments", "payments", "payments", "payments", "payments", "payments")
	if err != nil {
		return 0, err
	}
	crashed := servers[3]
	callers := []*machine{servers[0].m, crashed.m}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			for {
				l.request(callers[i%len(callers)], http.MethodPost, "payments.example", "/pay/1", 2*time.Second, []byte("dues"))
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	crashed.end()
	time.Sleep(time.Second)

	s := l.server(crashed.m, "i-7f3a0009", "payments")
	if err := s.listen(); err != nil {
		return 0, err
	}
	first := s.report()
	if !trouble {
		s.send("heartbeat", first)
	}
	time.Sleep(time.Second)
	if status := s.deregister(); status != http.StatusOK {
		l.note("the deregistration was not acknowledged")
		return 0, nil
	}
	acked := l.since()
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		l.note("the first heartbeat of %s arrives", s.id)
		s.send("heartbeat", first)
	}
	time.Sleep(3 * time.Second)
	s.end()
	close(stop)
	clients.Wait()
	broken := 0
	for _, a := range s.all() {
		if a.at > acked+drainTime {
			broken++
		}
	}
	return broken, nil
}
