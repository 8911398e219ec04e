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

// A backend server rejects every second request although its load header reports free slots. The
// concurrency limit of its gate must not fall, so that the requests that it accepts are served.
func TestRejectionsWithCapacityKeepLimit(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	var n atomic.Int64
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		if n.Add(1)%2 == 0 {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nT-Request: %s\r\nT-Not-Run: 1\r\nT-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
			return true
		}
		time.Sleep(10 * time.Millisecond)
		return respondOK(w, r, body)
	})
	// Each caller retries rejected requests after a short delay until they are served.
	const callers, perCaller, timeout = 24, 20, 5 * time.Second
	start := time.Now()
	var g errgroup.Group
	var served atomic.Int64
	for k := range callers {
		g.Go(func() error {
			for m := 0; m < perCaller && time.Since(start) < timeout; {
				if source.request("GET", "/view/x", fmt.Sprintf("r%d-%d-%d", k, m, time.Since(start)), "").status == 200 {
					served.Add(1)
					m++
					continue
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	minLimit := cl.slots
	var watch errgroup.Group
	done := make(chan struct{})
	watch.Go(func() error {
		for {
			minLimit = min(minLimit, target.gate.Stats().Limit)
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
	if minLimit != cl.slots {
		t.Errorf("limit fell to %d of %d slots", minLimit, cl.slots)
	}
	if got := served.Load(); got < callers*perCaller {
		t.Errorf("%d of %d requests served within %s", got, callers*perCaller, timeout)
	}
}
