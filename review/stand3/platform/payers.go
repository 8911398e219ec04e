package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// payers are the clients of other payments. They wait for their answers and don't repeat a payment.
type payers struct {
	l    *lab
	g    sync.WaitGroup
	stop chan struct{}

	mu         sync.Mutex
	sent, lost int
}

// newPayers starts two clients on each of the machines.
func newPayers(l *lab, machines []*machine) *payers {
	p := &payers{l: l, stop: make(chan struct{})}
	for i := range 2 * len(machines) {
		p.g.Go(func() { p.run(i, machines[i%len(machines)]) })
	}
	return p
}

func (p *payers) run(client int, m *machine) {
	for n := 0; ; n++ {
		_, a := p.l.request(m, http.MethodPost, "payments.example", fmt.Sprintf("/pay/%d-%d", client, n), 3*time.Second, []byte("dues"))
		p.mu.Lock()
		p.sent++
		if a.status == http.StatusBadGateway {
			p.lost++
		}
		p.mu.Unlock()
		select {
		case <-p.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// end stops the clients and notes how many payments were sent to a server and lost there.
func (p *payers) end() {
	close(p.stop)
	p.g.Wait()
	p.l.note("%d of %d other payments ended with 502", p.lost, p.sent)
}
