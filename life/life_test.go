package life_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamorespread.dev/life"
)

var addr = netip.MustParseAddrPort("127.0.0.1:80")

func newTracker() *life.Tracker {
	return life.New(addr, time.Now, nil)
}

func newReport(id string, startedAt, sequence int64, draining bool) life.Report {
	return life.Report{Instance: id, StartedAt: time.UnixMilli(startedAt), Sequence: sequence, Addr: addr, Service: "s", Slots: 4, Draining: draining}
}

func TestReportsOfOneServer(t *testing.T) {
	tracker := newTracker()
	if !tracker.HandleReport(newReport("a", 10, 2, false)) || tracker.Server().State != life.Ready {
		t.Fatalf("%+v", tracker.Server())
	}
	tracker.HandleReport(newReport("a", 10, 3, true))
	if tracker.Server().State != life.Leaving {
		t.Error("a draining server is not leaving")
	}
	tracker.HandleReport(newReport("a", 10, 1, false))
	tracker.HandleReport(newReport("a", 10, 4, false))
	if tracker.Server().State != life.Leaving {
		t.Error("a report made a leaving server ready")
	}
	tracker.HandleReport(newReport("a", 20, 1, false))
	if tracker.Server().State != life.Ready {
		t.Error("a restarted server with the same ID is not ready")
	}
}

// A delayed report of the previous server arrives after the new server has registered.
func TestLateReportOfAnEarlierServer(t *testing.T) {
	tracker := newTracker()
	tracker.HandleReport(newReport("new", 20, 1, false))
	tracker.HandleReport(newReport("old", 10, 9, true))
	tracker.MarkLeaving("old", time.UnixMilli(10))
	if s := tracker.Server(); s.State != life.Ready || s.Instance != "new" {
		t.Errorf("%+v", s)
	}
	tracker.MarkLeaving("new", time.UnixMilli(19))
	if tracker.Server().State != life.Ready {
		t.Error("the shutdown of an earlier start with the same ID was applied")
	}
	tracker.MarkLeaving("new", time.Time{})
	if tracker.Server().State != life.Leaving {
		t.Error("a shutdown without a start time was not applied")
	}
}

func TestOnlyTheServerAtTheAddressCounts(t *testing.T) {
	tracker := newTracker()
	r := newReport("a", 10, 1, false)
	r.Addr = netip.MustParseAddrPort("127.0.0.2:80")
	if tracker.HandleReport(r) || tracker.Server().State != life.Unknown {
		t.Error("a report from another address was applied")
	}
	tracker.HandleProbe("a", "s", 4)
	if tracker.Server().State != life.Ready {
		t.Error("a server that responded to a probe is not ready")
	}
	tracker.MarkDown("other")
	if tracker.Server().State != life.Ready {
		t.Error("MarkDown of another server was applied")
	}
	tracker.MarkDown("a")
	if tracker.Server().State != life.Down {
		t.Error("a server is not down after MarkDown")
	}
	tracker.HandleProbe("a", "s", 4)
	if tracker.Server().State != life.Down {
		t.Error("a health probe made a server that is down ready")
	}
	tracker.HandleReport(newReport("a", 10, 2, false))
	if tracker.Server().State != life.Ready {
		t.Error("the next report did not make the server ready")
	}
}

// A restarted daemon knows the server only from a health probe, or not at all, when the server
// announces its shutdown. A health probe that was answered earlier must not make it ready again.
func TestLeavingAfterARestartOfTheDaemon(t *testing.T) {
	probed := newTracker()
	probed.HandleProbe("a", "s", 4)
	probed.MarkLeaving("a", time.UnixMilli(10))
	if s := probed.Server(); s.State != life.Leaving {
		t.Errorf("leaving after a probe: %+v", s)
	}
	unknown := newTracker()
	unknown.MarkLeaving("a", time.UnixMilli(10))
	unknown.HandleProbe("a", "s", 4)
	unknown.HandleReport(newReport("a", 10, 3, false))
	if s := unknown.Server(); s.State != life.Leaving {
		t.Errorf("leaving while unknown: %+v", s)
	}
	unknown.HandleReport(newReport("a", 20, 1, false))
	if s := unknown.Server(); s.State != life.Ready {
		t.Errorf("after the next start: %+v", s)
	}
}

// The announcement of a shutdown has no start time, and a report sent before it arrives after it at
// a daemon that was restarted.
func TestLateReportAfterLeavingWithoutAStartTime(t *testing.T) {
	now := time.Now()
	for _, probed := range []bool{false, true} {
		tracker := life.New(addr, func() time.Time { return now }, nil)
		if probed {
			tracker.HandleProbe("a", "s", 4)
		}
		tracker.MarkLeaving("a", time.Time{})
		started := now.Add(-20 * time.Second).UnixMilli()
		tracker.HandleReport(newReport("a", started, 15, false))
		tracker.HandleReport(newReport("a", started, 16, false))
		if s := tracker.Server(); s.State != life.Leaving {
			t.Errorf("probed %t: a late report made the server ready: %+v", probed, s)
		}
		tracker.HandleReport(newReport("a", now.Add(time.Second).UnixMilli(), 1, false))
		if s := tracker.Server(); s.State != life.Ready {
			t.Errorf("probed %t: after the next start with the same ID: %+v", probed, s)
		}
	}
	// The clock was set back between the shutdown and the next start.
	tracker := life.New(addr, func() time.Time { return now }, nil)
	tracker.MarkLeaving("a", time.Time{})
	now = now.Add(time.Minute)
	tracker.HandleReport(newReport("a", now.Add(-2*time.Minute).UnixMilli(), 1, false))
	if s := tracker.Server(); s.State != life.Ready {
		t.Errorf("after a minute: %+v", s)
	}
}

// The newest start wins in any order of the reports, and a server that reported that it is leaving
// remains so.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		var newest, leaving int64
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			startedAt := rapid.Int64Range(1, 4).Draw(t, "born")
			draining := rapid.Bool().Draw(t, "draining")
			before := tracker.Server()
			r := newReport("a", startedAt, rapid.Int64Range(1, 5).Draw(t, "sequence"), draining)
			applies := r.StartedAt.After(before.StartedAt) || r.StartedAt.Equal(before.StartedAt) && r.Sequence > before.Sequence
			tracker.HandleReport(r)
			if startedAt > newest {
				newest = startedAt
			}
			if applies && draining {
				leaving = startedAt
			}
			s := tracker.Server()
			if s.StartedAt != time.UnixMilli(newest) {
				t.Fatalf("start time %d, want %d", s.StartedAt.UnixMilli(), newest)
			}
			if (s.State == life.Leaving) != (leaving == newest) {
				t.Fatalf("state %s, the newest start is %d and the last leaving one %d", s.State, newest, leaving)
			}
		}
	})
}

// A server that came back under its ID was taken for the same start, so that its crashes counted as one.
func TestRestartUnderTheSameIDNotCounted(t *testing.T) {
	tracker := newTracker()
	want := func(start uint64, event string) {
		t.Helper()
		if got := tracker.Server().Start; got != start {
			t.Fatalf("%s: start %d, want %d", event, got, start)
		}
	}
	tracker.HandleProbe("a", "s", 4)
	want(1, "a probe")
	tracker.HandleReport(newReport("a", 10, 1, false))
	want(1, "the first report after a probe")
	tracker.MarkDown("a")
	tracker.HandleReport(newReport("a", 10, 2, false))
	want(1, "a report of the same start")
	tracker.HandleReport(newReport("a", 20, 1, false))
	want(2, "a report of a later start")
	tracker.HandleReport(newReport("a", 10, 3, false))
	want(2, "a late report of the earlier start")
}

// A server known by a probe only crashed and came back under its ID.
func TestRestartAfterAProbeNotCounted(t *testing.T) {
	tracker := newTracker()
	tracker.HandleProbe("a", "s", 4)
	tracker.MarkDown("a")
	tracker.HandleReport(newReport("a", time.Now().Add(time.Second).UnixMilli(), 1, false))
	if got := tracker.Server().Start; got != 2 {
		t.Errorf("start %d, want 2", got)
	}
}

// The clock was set back between two starts, and the second one was never used.
func TestServerWithAnEarlierStartTimeIsNeverUsed(t *testing.T) {
	now := time.Now()
	for _, id := range []string{"b", "a"} {
		tracker := life.New(addr, func() time.Time { return now }, nil)
		tracker.HandleReport(newReport("a", 5000, 1, false))
		tracker.MarkDown("a")
		now = now.Add(time.Second)
		for n := range int64(4) {
			tracker.HandleReport(newReport(id, 3000, 1+n, false))
			now = now.Add(1500 * time.Millisecond)
		}
		s := tracker.Server()
		if s.State != life.Ready || s.Instance != id || !s.StartedAt.Equal(time.UnixMilli(3000)) || s.Start != 2 {
			t.Errorf("%s: %+v", id, s)
		}
	}
}

// Late reports of an earlier start do not replace the known one: they end, or the known one reports too.
func TestLateReportsReplaceNoServer(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		id       string
		interval time.Duration
		reports  int64
		// repeated is set if all reports are the same one, alive if the known server reports too, and leaving if it
		// announced its shutdown.
		repeated, alive, leaving bool
	}{
		"burst":                {id: "a", interval: 100 * time.Millisecond, reports: 10},
		"few":                  {id: "a", interval: 1500 * time.Millisecond, reports: 2},
		"repeated":             {id: "a", interval: 1500 * time.Millisecond, reports: 10, repeated: true},
		"beside the known one": {id: "a", interval: 1500 * time.Millisecond, reports: 10, alive: true},
		"of the leaving ID":    {id: "b", interval: 1500 * time.Millisecond, reports: 10, leaving: true},
	} {
		tracker := life.New(addr, func() time.Time { return now }, nil)
		tracker.HandleReport(newReport("b", 5000, 1, c.leaving))
		for n := range c.reports {
			sequence := n + 1
			if c.repeated {
				sequence = 1
			}
			tracker.HandleReport(newReport(c.id, 3000, sequence, false))
			now = now.Add(c.interval)
			if c.alive {
				tracker.HandleReport(newReport("b", 5000, n+2, false))
			}
		}
		if s := tracker.Server(); s.Instance != "b" || !s.StartedAt.Equal(time.UnixMilli(5000)) {
			t.Errorf("%s: %+v", name, s)
		}
	}
}
