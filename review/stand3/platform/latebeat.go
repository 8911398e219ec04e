package main

import (
	"fmt"
	"net/http"
	"time"
)

// lateBeat replaces one of three machines of payments by one of statements at the same address. The last heartbeat of the
// server that is gone arrives late, once the daemon of the new machine runs.
func lateBeat(l *lab, trouble bool) (int, error) {
	servers, err := l.deploy("statements", "payments", "waitlists", "payments", "payments")
	if err != nil {
		return 0, err
	}
	gone := servers[3]
	old := gone.m
	for range 3 {
		l.request(old, http.MethodGet, "waitlists.example", "/wait/1", 2*time.Second, nil)
	}
	late := gone.report()
	gone.end()
	old.kill()
	time.Sleep(2500 * time.Millisecond) // reuse_after_s is 2

	m := l.machine(old.host, old.zone, "statements")
	m.name = "sidecar-dk-east-a-9"
	s := l.server(m, "i-7f3a0009", "statements")
	if err := s.listen(); err != nil {
		return 0, err
	}
	if err := m.run(false); err != nil {
		return 0, err
	}
	started := time.Now()
	for !m.ready() {
		if time.Since(started) > 5*time.Second {
			return 0, fmt.Errorf("the daemon of the new machine did not get ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.note("daemon %s is ready", m.name)
	if trouble {
		l.note("the last heartbeat of %s arrives", gone.id)
		gone.send("heartbeat", late)
	}
	time.AfterFunc(heartbeat-time.Since(started), s.beats)
	sent := map[string]bool{}
	for time.Since(started) < 4*time.Second {
		id, _ := l.request(m, http.MethodGet, "waitlists.example", "/wait/1", 2*time.Second, nil)
		sent[id] = true
		time.Sleep(30 * time.Millisecond)
	}
	broken := 0
	for _, a := range servers[2].all() {
		if sent[a.id] && a.ran && a.caller != m.service {
			broken++
		}
	}
	return broken, nil
}
