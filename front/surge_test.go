package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/policy"
)

const (
	// nestedRunTime is the run time at the downstream service, nestedCalls the number of downstream
	// calls of each request.
	nestedRunTime = 20 * time.Millisecond
	nestedCalls   = 4
	// loadDuration is how long the load lasts, warmup the time before results are counted.
	loadDuration = 5 * time.Second
	warmup       = 1500 * time.Millisecond
)

// resultCounts counts the results of the requests of one route.
type resultCounts struct {
	mu                     sync.Mutex
	sent, served, rejected int
	failed                 int
}

func (r *resultCounts) add(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch status {
	case http.StatusOK:
		r.served++
	case http.StatusServiceUnavailable:
		r.rejected++
	default:
		r.failed++
	}
}

// sendLoad sends requests for a path at a fixed rate, in requests per second, for loadDuration.
func sendLoad(g *errgroup.Group, i *instance, path string, rate int, counts *resultCounts) {
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	for n := 0; time.Since(start) < loadDuration; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		counted := time.Since(start) > warmup
		g.Go(func() error {
			got := i.request("POST", path, fmt.Sprintf("%s-%s-%d", i.id, path[1:4], n), "")
			if counted {
				counts.add(got.status)
			}
			return nil
		})
	}
}

// A downstream service gets 1.7 times the load that it can serve, with four calls per request. The
// high-priority requests must be served. Of the others, the excess must be shed before it runs, so
// that few of the admitted ones fail at a later call.
func TestOverloadOfDownstreamService(t *testing.T) {
	nested := viewRoute
	nested.Name, nested.Prefix, nested.Rank = "inner", "/inner/", 1
	nested.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	cl := newCluster(t, viewRoute, payRoute, nested)
	cl.slots = 64
	entries := []*instance{cl.add("dues"), cl.add("dues")}
	upper := []*instance{cl.add("plots"), cl.add("plots")}
	cl.slots = 4
	lower := []*instance{cl.add("other"), cl.add("other")}
	for _, i := range lower {
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			time.Sleep(nestedRunTime)
			return respondOK(w, req, body)
		})
	}
	for _, i := range upper {
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			id := req.Header.Get(testHeaders.RequestID)
			for k := range nestedCalls {
				if i.request("GET", "/inner/x", fmt.Sprintf("%s.%d", id, k), "").status != http.StatusOK {
					respond(w, req, 500, "")
					return true
				}
			}
			return respondOK(w, req, body)
		})
	}
	var pays, views resultCounts
	var g, senders errgroup.Group
	for _, i := range entries {
		senders.Go(func() error {
			sendLoad(&g, i, "/pay/x", 10, &pays)
			return nil
		})
		senders.Go(func() error {
			sendLoad(&g, i, "/view/x", 75, &views)
			return nil
		})
	}
	_ = senders.Wait()
	_ = g.Wait()
	t.Logf("high priority: %d sent, %d served; others: %d sent, %d served, %d rejected, %d failed",
		pays.sent, pays.served, views.sent, views.served, views.rejected, views.failed)
	if float64(pays.served) < 0.95*float64(pays.sent) {
		t.Errorf("%d of %d high-priority requests served", pays.served, pays.sent)
	}
	if admitted := views.served + views.failed; float64(views.failed) > 0.15*float64(admitted) {
		t.Errorf("%d of %d admitted requests failed", views.failed, admitted)
	}
	// The downstream service has capacity for 0.53 of the others.
	if ratio := float64(views.served) / float64(views.sent); ratio < 0.4 {
		t.Errorf("%.2f of the other requests served", ratio)
	}
}
