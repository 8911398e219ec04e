package route_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

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

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{now: time.Unix(1000, 0), cut: make([]bool, n)}
	f.table = route.New("self", "a", func() time.Time { return f.now })
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

func TestWellServerGetsLessThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "servers")
		f := newFakeFleet(n)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.call()
			f.change(rapid.IntRange(0, n-1).Draw(t, "server"), rapid.SampledFrom([]string{"stop", "start", "crash", "back", "cut", "heal"}).Draw(t, "event"))
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
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
			if counts[target.ID] < 4 {
				t.Errorf("%s got %d of %d calls, its share is 8", target.ID, counts[target.ID], 8*n)
			}
		}
	})
}
