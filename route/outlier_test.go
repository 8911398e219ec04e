package route_test

import (
	"testing"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

// simulate sends calls at a steady rate to servers with ten slots each and
// returns the number of calls by server. respond returns how long a server runs
// a call and whether the call fails.
func simulate(tab *route.Table, now *time.Time, calls int, interval time.Duration, respond func(id string) (time.Duration, bool)) map[string]int {
	type run struct {
		attempt *route.Attempt
		end     time.Time
		took    time.Duration
		failed  bool
	}
	got := map[string]int{}
	var inflight []run
	for range calls {
		*now = now.Add(interval)
		pending := inflight[:0]
		for _, r := range inflight {
			if r.end.After(*now) {
				pending = append(pending, r)
				continue
			}
			busy := uint32(0)
			for _, o := range inflight {
				if o.attempt.Target.ID == r.attempt.Target.ID && o.end.After(*now) {
					busy++
				}
			}
			r.attempt.Done(route.Report{Level: action.AdmitAll, Latency: r.took, Failed: r.failed, Load: &sycapb.Load{Inflight: busy, Limit: 10}})
		}
		inflight = pending
		attempt, err := tab.Pick(request(0))
		if err != nil {
			panic(err)
		}
		took, failed := respond(attempt.Target.ID)
		got[attempt.Target.ID]++
		inflight = append(inflight, run{attempt: attempt, end: now.Add(took), took: took, failed: failed})
	}
	return got
}

// A server that fails half of its calls immediately has little load and would
// attract most calls.
func TestFastFailingServerGetsFewerCalls(t *testing.T) {
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

// If all servers fail at the same rate, the cause is a downstream service and
// no server is penalized.
func TestCommonFailuresPenalizeNoServer(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "a", "a", "a")
	n := 0
	got := simulate(tab, &now, 4000, 5*time.Millisecond, func(string) (time.Duration, bool) {
		n++
		return 50 * time.Millisecond, n%2 == 0
	})
	for id, calls := range got {
		if calls < 700 || calls > 1300 {
			t.Errorf("%s got %d of 4000 calls, want 700 to 1300", id, calls)
		}
	}
}

// A server of the local zone that became slow must not keep calls that servers
// of other zones would complete in time.
func TestSlowLocalServerSpillsOver(t *testing.T) {
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

// Traffic between zones is expensive: a server of the local zone keeps nearly
// all calls while its utilization is below the threshold.
func TestLocalZoneKeepsCallsBelowThreshold(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "b")
	got := simulate(tab, &now, 2000, 20*time.Millisecond, func(string) (time.Duration, bool) { return 100 * time.Millisecond, false })
	if got["plots-1"] > 100 {
		t.Errorf("%d of 2000 calls left the zone", got["plots-1"])
	}
}
