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
	// deepWork is the run time at the deep service, deepCalls the calls that each run of the upper one makes.
	deepWork  = 20 * time.Millisecond
	deepCalls = 4
	// surgeFor is how long the surge lasts, surgeSettle the time until it is judged.
	surgeFor    = 5 * time.Second
	surgeSettle = 1500 * time.Millisecond
)

// tally counts how the requests of one kind ended.
type tally struct {
	mu                     sync.Mutex
	asked, served, refused int
	failed                 int
}

func (c *tally) take(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	switch status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
}

// surge sends requests of a path at a rate for surgeFor.
func surge(g *errgroup.Group, i *instance, path string, perSecond int, c *tally) {
	start := time.Now()
	gap := time.Second / time.Duration(perSecond)
	for n := 0; time.Since(start) < surgeFor; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * gap)))
		judged := time.Since(start) > surgeSettle
		g.Go(func() error {
			got := i.ask("POST", path, fmt.Sprintf("%s-%s-%d", i.id, path[1:4], n), "")
			if judged {
				c.take(got.status)
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
	inner.Parts = []policy.Part{{Service: "other", Weight: 1}}
	r := newRig(t, view, pay, inner)
	r.slots = 64
	entries := []*instance{r.add("dues"), r.add("dues")}
	upper := []*instance{r.add("plots"), r.add("plots")}
	r.slots = 4
	lower := []*instance{r.add("other"), r.add("other")}
	for _, i := range lower {
		i.on(func(w net.Conn, req *http.Request, body string) bool {
			time.Sleep(deepWork)
			return whole(w, req, body)
		})
	}
	for _, i := range upper {
		i.on(func(w net.Conn, req *http.Request, body string) bool {
			id := req.Header.Get(names.RequestID)
			for k := range deepCalls {
				if i.ask("GET", "/inner/x", fmt.Sprintf("%s.%d", id, k), "").status != http.StatusOK {
					answer(w, req, 500, "")
					return true
				}
			}
			return whole(w, req, body)
		})
	}
	var pays, views tally
	var g, senders errgroup.Group
	for _, i := range entries {
		senders.Go(func() error {
			surge(&g, i, "/pay/x", 10, &pays)
			return nil
		})
		senders.Go(func() error {
			surge(&g, i, "/view/x", 75, &views)
			return nil
		})
	}
	_ = senders.Wait()
	_ = g.Wait()
	t.Logf("important: %d asked, %d served; others: %d asked, %d served, %d refused, %d failed",
		pays.asked, pays.served, views.asked, views.served, views.refused, views.failed)
	if float64(pays.served) < 0.95*float64(pays.asked) {
		t.Errorf("%d of %d important requests were served", pays.served, pays.asked)
	}
	if let := views.served + views.failed; float64(views.failed) > 0.15*float64(let) {
		t.Errorf("%d of %d requests that were let in failed", views.failed, let)
	}
	// The deep service has room for 0.53 of the others.
	if share := float64(views.served) / float64(views.asked); share < 0.4 {
		t.Errorf("%.2f of the others were served", share)
	}
}
