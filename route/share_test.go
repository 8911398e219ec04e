package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

// fakeFleet simulates the servers of a service whose daemons stop, start, are killed and are cut off.
type fakeFleet struct {
	table   *route.Table
	now     time.Time
	targets []route.Target
	cut     []bool
}

// newFakeFleet returns a fleet of n servers whose table chooses at random with the seed.
func newFakeFleet(n int, seed uint64) *fakeFleet {
	f := &fakeFleet{now: time.Unix(1000, 0), cut: make([]bool, n)}
	f.table = route.New("self", "a", func() time.Time { return f.now })
	f.table.IntN = rand.New(rand.NewPCG(seed, 1)).IntN
	for i := range n {
		f.targets = append(f.targets, route.Target{ID: fmt.Sprintf("plots-%d", i), Incarnation: 1, Service: service, Zone: "a", Slots: 10})
	}
	f.table.Update(f.targets)
	return f
}

// call makes a call to each server that responds within a few milliseconds.
func (f *fakeFleet) call() {
	for i := range f.targets {
		if attempt, err := f.table.PickByID(f.targets[i].ID, "get"); err == nil {
			attempt.Done(route.Report{Level: action.AdmitAll, Load: &sycapb.Load{Inflight: 1, Limit: 10}, Latency: 5 * time.Millisecond})
		}
	}
}

// lose ends some calls in flight to server i without a response.
func (f *fakeFleet) lose(i int, end func(*route.Attempt)) {
	for range 6 {
		if attempt, err := f.table.PickByID(f.targets[i].ID, "get"); err == nil {
			end(attempt)
		}
	}
}

// change makes one event happen to server i.
func (f *fakeFleet) change(i int, event string) {
	target := &f.targets[i]
	switch event {
	case "stop":
		target.Stopping = true
	case "start":
		target.Stopping, target.ByIDOnly = false, false
		target.Incarnation++
	case "crash":
		f.lose(i, func(a *route.Attempt) { a.Fail(true) })
		target.ByIDOnly = true
	case "back":
		// The backend server restarted, its daemon did not.
		target.ByIDOnly = false
	case "cut":
		f.lose(i, func(a *route.Attempt) { a.TimedOut(time.Second) })
		f.table.SetUnreachable(target.ID, true)
		f.cut[i] = true
	case "heal":
		f.table.SetUnreachable(target.ID, false)
		f.cut[i] = false
	}
	f.table.Update(f.targets)
}

// recover ends all outages.
func (f *fakeFleet) recover() {
	for i := range f.targets {
		if f.cut[i] {
			f.change(i, "heal")
		}
		if f.targets[i].Stopping {
			f.change(i, "start")
		}
		if f.targets[i].ByIDOnly {
			f.change(i, "back")
		}
	}
}

// shares returns how many of 8 calls for each of n servers each one gets after some events, or after the same time
// without any.
func shares(t *testing.T, seed uint64, disturbed bool) map[string]int {
	t.Helper()
	events := rand.New(rand.NewPCG(seed, 2))
	n := 2 + events.IntN(5)
	f := newFakeFleet(n, seed)
	names := []string{"stop", "start", "crash", "back", "cut", "heal"}
	for range 1 + events.IntN(12) {
		f.call()
		if server, name := events.IntN(n), names[events.IntN(len(names))]; disturbed {
			f.change(server, name)
		}
		f.now = f.now.Add(time.Duration(events.IntN(3001)) * time.Millisecond)
	}
	f.recover()
	// The last calls of the outages end, and what comes next is a normal load.
	f.now = f.now.Add(time.Second)
	counts := map[string]int{}
	for range 8 * n {
		attempt, err := f.table.Pick(request(0))
		if err != nil {
			t.Fatal(err)
		}
		counts[attempt.Target.ID]++
	}
	for _, target := range f.targets {
		// Servers without calls count too.
		counts[target.ID] += 0
	}
	return counts
}

// After the end of all outages, a server got less than half of its share of 8. Chance alone gives few servers
// fewer than 4 calls: the same choices without outages show that.
func TestWellServerGetsLessThanItsShare(t *testing.T) {
	for seed := range uint64(10_000) {
		after, calm := shares(t, seed, true), shares(t, seed, false)
		for id, n := range after {
			if n < min(4, calm[id]) {
				t.Errorf("seed %d: %s got %d of %d calls, its share is 8, and %d without outages", seed, id, n, 8*len(after), calm[id])
			}
		}
	}
}
