package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// giveUp is how long clients leave early, again the time between two of the requests, patience how long their
	// clients wait.
	giveUp   = 5500 * time.Millisecond
	again    = 250 * time.Millisecond
	patience = 100 * time.Millisecond
)

// departed sends a request that crashes the servers that run it, again and again. Its client leaves before the
// server crashes, well before its deadline.
func departed(l *lab, trouble bool) (int, error) {
	services := []string{"statements", "statements", "waitlists", "payments", "payments", "payments", "payments", "payments", "payments", "payments", "payments"}
	servers, err := l.deploy(services...)
	if err != nil {
		return 0, err
	}
	p := newPoison(l, servers[3:])
	// The clients of the other services go on all the while.
	stop := make(chan struct{})
	var clients, leaving sync.WaitGroup
	for i := range 10 {
		m := servers[i%3].m
		clients.Go(func() {
			for {
				l.request(m, http.MethodGet, "waitlists.example", "/wait/1", 2*time.Second, nil)
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	for i := range int(giveUp / again) {
		from := servers[i%2].m
		leaving.Go(func() {
			if trouble {
				l.leave(from, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, patience, []byte("dues"))
			} else {
				l.request(from, http.MethodPost, "payments.example", "/pay/crash", 3*time.Second, []byte("dues"))
			}
		})
		time.Sleep(again)
	}
	leaving.Wait()
	close(stop)
	clients.Wait()
	return p.end(), nil
}

// leave sends a request and closes its connection after a while without an answer.
func (l *lab) leave(m *machine, method, host, path string, deadline, after time.Duration, body []byte) {
	id := l.nextID()
	c, err := net.DialTimeout("tcp", l.addr(m.host, portOutbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, host, headerID, id, headerDeadline, deadline.Milliseconds(), len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(after))
	b := make([]byte, 512)
	n, _ := c.Read(b)
	line, _, _ := strings.Cut(string(b[:n]), "\r\n")
	l.note("client on %s: %s %s %s%s: leaves after %d ms, read %q", m.name, id, method, host, path, after.Milliseconds(), line)
}
