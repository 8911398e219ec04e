package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// A backend server refuses each second request though it says that it has
// room. The limit of its gate stays, so that what it takes is served.
func TestRefusalsWithRoomDoNotCloseTheGate(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	var n atomic.Int64
	far.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		if n.Add(1)%2 == 0 {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nT-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headers.RequestID))
			return true
		}
		time.Sleep(10 * time.Millisecond)
		return respondOK(w, r, body)
	})
	// Callers that are refused come back a little later, until they are served.
	const callers, each, within = 24, 20, 5 * time.Second
	start := time.Now()
	var g errgroup.Group
	var served atomic.Int64
	for k := range callers {
		g.Go(func() error {
			for m := 0; m < each && time.Since(start) < within; {
				if entry.request("GET", "/view/x", fmt.Sprintf("r%d-%d-%d", k, m, time.Since(start)), "").status == 200 {
					served.Add(1)
					m++
					continue
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	least := r.slots
	var watch errgroup.Group
	done := make(chan struct{})
	watch.Go(func() error {
		for {
			least = min(least, far.gate.Stats().Limit)
			select {
			case <-done:
				return nil
			case <-time.After(time.Millisecond):
			}
		}
	})
	_ = g.Wait()
	close(done)
	_ = watch.Wait()
	if least != r.slots {
		t.Errorf("the limit fell to %d of %d slots", least, r.slots)
	}
	if got := served.Load(); got < callers*each {
		t.Errorf("%d of %d requests were served within %s", got, callers*each, within)
	}
}
