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
	// nestedRunTime is the run time at the deep service, deepCalls the calls that each run of the upper one makes.
	nestedRunTime = 20 * time.Millisecond
	nestedCalls   = 4
	// loadDuration is how long the surge lasts, surgeSettle the time until it is judged.
	loadDuration = 5 * time.Second
	warmup       = 1500 * time.Millisecond
)

// resultCount counts how the requests of one kind ended.
type resultCount struct {
	mu                     sync.Mutex
	sent, served, rejected int
	failed                 int
}

func (c *resultCount) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable:
		c.rejected++
	default:
		c.failed++
	}
}

// sendLoad sends requests of a path at a rate for surgeFor.
func sendLoad(g *errgroup.Group, i *instance, path string, perSecond int, c *resultCount) {
	start := time.Now()
	gap := time.Second / time.Duration(perSecond)
	for n := 0; time.Since(start) < loadDuration; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * gap)))
		judged := time.Since(start) > warmup
		g.Go(func() error {
			got := i.request("POST", path, fmt.Sprintf("%s-%s-%d", i.id, path[1:4], n), "")
			if judged {
				c.add(got.status)
			}
			return nil
		})
	}
}

// A deep service is asked for 1.7 times what it can do, four calls for each
// request. The important requests are all served; of the others as many are
// refused at the entry as there is no room for, and few of those that were let
// in fail at a later call.
func TestSurgeOfADeepService(t *testing.T) {
	inner := view
	inner.Name, inner.Prefix, inner.Rank = "inner", "/inner/", 1
	inner.WeightedServices = []policy.WeightedService{{Service: "other", Weight: 1}}
	r := newCluster(t, view, pay, inner)
	r.slots = 64
	entries := []*instance{r.add("dues"), r.add("dues")}
	upper := []*instance{r.add("plots"), r.add("plots")}
	r.slots = 4
	lower := []*instance{r.add("other"), r.add("other")}
	for _, i := range lower {
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			time.Sleep(nestedRunTime)
			return respondOK(w, req, body)
		})
	}
	for _, i := range upper {
		i.setHandler(func(w net.Conn, req *http.Request, body string) bool {
			id := req.Header.Get(headers.RequestID)
			for k := range nestedCalls {
				if i.request("GET", "/inner/x", fmt.Sprintf("%s.%d", id, k), "").status != http.StatusOK {
					respond(w, req, 500, "")
					return true
				}
			}
			return respondOK(w, req, body)
		})
	}
	var pays, views resultCount
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
	t.Logf("important: %d asked, %d served; others: %d asked, %d served, %d refused, %d failed",
		pays.sent, pays.served, views.sent, views.served, views.rejected, views.failed)
	if float64(pays.served) < 0.95*float64(pays.sent) {
		t.Errorf("%d of %d important requests were served", pays.served, pays.sent)
	}
	if let := views.served + views.failed; float64(views.failed) > 0.15*float64(let) {
		t.Errorf("%d of %d requests that were let in failed", views.failed, let)
	}
	// The deep service has room for 0.53 of the others.
	if share := float64(views.served) / float64(views.sent); share < 0.4 {
		t.Errorf("%.2f of the others were served", share)
	}
}
