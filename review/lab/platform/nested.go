package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// excusedSend is the time after a SIGTERM within which a request must be sent for its cut in the last
	// sixth of the grace to be excused.
	excusedSend = 3 * time.Second
)

// nestedCase stops the daemon beside a server that runs a payment. The server makes its call 3.4 s after the
// SIGTERM, and the daemon sends it to another server, which works on it for 2.5 s.
func nestedCase(l *lab, trouble bool) (int, error) {
	l.configure(3, []string{"payments", "statements"}, []routeConfig{
		{Name: "pay", Host: "pay.example", PathPrefix: "/pay/", Kind: "non_idempotent", TimeoutMs: 8000, TargetMs: 1500, Service: "payments", Attempts: 2},
		{Name: "check", Host: "check.example", PathPrefix: "/check/", Kind: "idempotent", TimeoutMs: 8000, TargetMs: 1000, Priority: 1, Service: "statements", Attempts: 2},
	})
	pay, other := l.add("payments", "a"), l.add("statements", "b")
	servers, err := l.startAll()
	if err != nil {
		return exitNotRun, err
	}
	if err := l.warmUp(clientRequest{from: other.outbound(), method: http.MethodPost, host: "pay.example", target: "/pay/0?work=10", deadline: time.Second}); err != nil {
		return exitNotRun, err
	}
	time.Sleep(2 * time.Second)
	parent := clientRequest{
		from: other.outbound(), method: http.MethodPost, host: "pay.example", id: newID(), deadline: 8 * time.Second, body: []byte("dues"),
		target: "/pay/1?work=6400&call=/check/2?work=2500&callhost=check.example&callat=3600",
	}
	done := make(chan answer, 1)
	go func() { done <- sendRequest(l.ctx, l.rec, parent) }()
	time.Sleep(200 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		pay.signal(syscall.SIGTERM)
	}
	a := <-done
	// The payment may end a moment before its call.
	time.Sleep(500 * time.Millisecond)
	s := servers[pay]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) != 1 {
		return exitNotRun, errors.New("the server made no call")
	}
	c := s.calls[0]
	left := c.deadline - c.answer.endedAt.Sub(c.answer.sentAt)
	l.rec.add("the payment: %s", a)
	l.rec.add("the call was sent %.3f s after the SIGTERM and ended after %.3f s with %s, %.3f s before its deadline and its route's timeout", c.answer.sentAt.Sub(termAt).Seconds(), c.answer.endedAt.Sub(termAt).Seconds(), c.answer, left.Seconds())
	if c.answer.status != 0 {
		return exitHeld, nil
	}
	// The daemon took the call, and cut it while its server was at work. Nothing excuses that.
	if c.answer.sentAt.Sub(termAt) > excusedSend && left > 0 {
		l.rec.add("LOST: the connection of a request that was read and passed on ended without an answer")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// startAll starts all daemons with a server beside each, and waits until the daemons are ready.
func (l *lab) startAll() (map[*machine]*backend, error) {
	servers := map[*machine]*backend{}
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		servers[m] = l.newServer(m, "i-"+m.name+"-1")
		if err := servers[m].start(l.ctx); err != nil {
			return nil, err
		}
	}
	for _, m := range l.machines {
		if !m.awaitReady(10 * time.Second) {
			return nil, errors.New("daemon " + m.name + " is not ready")
		}
	}
	return servers, nil
}

// warmUp sends a request until it is served.
func (l *lab) warmUp(c clientRequest) error {
	for range 60 {
		c.id = newID()
		if sendRequest(l.ctx, l.rec, c).whole() {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no request is served")
}
