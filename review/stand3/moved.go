package main

import (
	"net/http"
	"sync"
	"time"
)

// moved sends a request that crashes the servers that run it, again and again, while the operator moves its route
// from one service to the next.
func moved(l *lab, trouble bool) (int, error) {
	services := []string{"payments", "statements", "waitlists", "plots", "payments", "statements", "waitlists", "plots"}
	servers, err := l.deploy(services...)
	if err != nil {
		return 0, err
	}
	p := newPoison(l, servers)
	from := servers[0].m
	end := time.Now().Add(33 * time.Second)
	var moves sync.WaitGroup
	moves.Go(func() {
		for i, service := range []string{"statements", "waitlists", "plots"} {
			time.Sleep(8 * time.Second)
			if trouble {
				l.configure(4+2*i, route("r-pay", "payments.example", "/pay/", "non_idempotent", service))
			}
		}
	})
	for time.Now().Before(end) {
		l.request(from, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, []byte("dues"))
		time.Sleep(3200 * time.Millisecond)
	}
	moves.Wait()
	return p.end(), nil
}
