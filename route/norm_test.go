package route_test

import (
	"testing"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

// simulate sends calls at a steady rate to servers with ten slots each and returns
// how many each one got. answer says how long a server runs and whether it
// fails.
func simulate(tab *route.Table, now *time.Time, calls int, gap time.Duration, answer func(id string) (time.Duration, bool)) map[string]int {
	type run struct {
		try    *route.Attempt
		end    time.Time
		took   time.Duration
		failed bool
	}
	got := map[string]int{}
	var open []run
	for range calls {
		*now = now.Add(gap)
		kept := open[:0]
		for _, r := range open {
			if r.end.After(*now) {
				kept = append(kept, r)
				continue
			}
			busy := uint32(0)
			for _, o := range open {
				if o.try.Target.ID == r.try.Target.ID && o.end.After(*now) {
					busy++
				}
			}
			r.try.Done(route.Report{Level: action.AdmitAll, Latency: r.took, Failed: r.failed, Load: &sycapb.Load{Inflight: busy, Limit: 10}})
		}
		open = kept
		try, err := tab.Pick(request(0))
		if err != nil {
			panic(err)
		}
		took, failed := answer(try.Target.ID)
		got[try.Target.ID]++
		open = append(open, run{try: try, end: now.Add(took), took: took, failed: failed})
	}
	return got
}

// A server that fails half of its calls at once has no load, and took most of
// them.
func TestServerThatFailsFastGetsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "a", "a", "a")
	n := 0
	got := simulate(tab, &now, 4000, 5*time.Millisecond, func(id string) (time.Duration, bool) {
		n++
		if id == "plots-0" && n%2 == 0 {
			return time.Millisecond, true
		}
		return 100 * time.Millisecond, false
	})
	if share := float64(got["plots-0"]) / 4000; share > 0.15 {
		t.Errorf("the faulty one of four servers got %.2f of the calls: %v", share, got)
	}
}

// When all servers fail alike, the cause is deeper and none is avoided.
func TestCommonFailuresCountAgainstNone(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "a", "a", "a")
	n := 0
	got := simulate(tab, &now, 4000, 5*time.Millisecond, func(string) (time.Duration, bool) {
		n++
		return 50 * time.Millisecond, n%2 == 0
	})
	for id, calls := range got {
		if calls < 700 || calls > 1300 {
			t.Errorf("%s got %d of 4000 calls", id, calls)
		}
	}
}

// A server of the own zone that turned slow holds calls that others would
// answer in time.
func TestSlowServerOfTheOwnZoneIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "b")
	got := simulate(tab, &now, 2000, 40*time.Millisecond, func(id string) (time.Duration, bool) {
		if id == "plots-0" {
			return 800 * time.Millisecond, false
		}
		return 100 * time.Millisecond, false
	})
	if share := float64(got["plots-0"]) / 2000; share > 0.3 {
		t.Errorf("the slow server got %.2f of the calls", share)
	}
}

// Bytes between zones are dear: a calm server of the own zone keeps all calls.
func TestCalmOwnZoneKeepsItsCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "b")
	got := simulate(tab, &now, 2000, 20*time.Millisecond, func(string) (time.Duration, bool) { return 100 * time.Millisecond, false })
	if got["plots-1"] > 100 {
		t.Errorf("%d of 2000 calls left the zone", got["plots-1"])
	}
}
