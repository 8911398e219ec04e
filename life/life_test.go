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

func newReport(id string, born, sequence int64, draining bool) life.Report {
	return life.Report{Instance: id, StartedAt: time.UnixMilli(born), Sequence: sequence, Addr: addr, Service: "s", Slots: 4, Draining: draining}
}

func TestReportsOfOneServer(t *testing.T) {
	k := newTracker()
	if !k.HandleReport(newReport("a", 10, 2, false)) || k.Server().State != life.Ready {
		t.Fatalf("%+v", k.Server())
	}
	k.HandleReport(newReport("a", 10, 3, true))
	if k.Server().State != life.Leaving {
		t.Error("a server that drains is not leaving")
	}
	k.HandleReport(newReport("a", 10, 1, false))
	k.HandleReport(newReport("a", 10, 4, false))
	if k.Server().State != life.Leaving {
		t.Error("a report brought a leaving server back")
	}
	k.HandleReport(newReport("a", 20, 1, false))
	if k.Server().State != life.Ready {
		t.Error("a new start under the same ID is not ready")
	}
}

// A report of the server before, held up on the way, arrives after the new one
// has registered.
func TestLateReportOfAnEarlierServer(t *testing.T) {
	k := newTracker()
	k.HandleReport(newReport("new", 20, 1, false))
	k.HandleReport(newReport("old", 10, 9, true))
	k.MarkLeaving("old", time.UnixMilli(10))
	if s := k.Server(); s.State != life.Ready || s.Instance != "new" {
		t.Errorf("%+v", s)
	}
	k.MarkLeaving("new", time.UnixMilli(19))
	if k.Server().State != life.Ready {
		t.Error("a leave of an earlier start under the same ID counts")
	}
	k.MarkLeaving("new", time.Time{})
	if k.Server().State != life.Leaving {
		t.Error("a leave without a start does not count")
	}
}

func TestStrangerAndLoss(t *testing.T) {
	k := newTracker()
	r := newReport("a", 10, 1, false)
	r.Addr = netip.MustParseAddrPort("127.0.0.2:80")
	if k.HandleReport(r) || k.Server().State != life.Unknown {
		t.Error("a report of another address was taken")
	}
	k.HandleProbe("a", "s", 4)
	if k.Server().State != life.Ready {
		t.Error("a server that was found is not ready")
	}
	k.MarkDown("other")
	if k.Server().State != life.Ready {
		t.Error("the loss of another server counts")
	}
	k.MarkDown("a")
	if k.Server().State != life.Down {
		t.Error("a lost server is not down")
	}
	k.HandleProbe("a", "s", 4)
	if k.Server().State != life.Down {
		t.Error("a health check brought a lost server back")
	}
	k.HandleReport(newReport("a", 10, 2, false))
	if k.Server().State != life.Ready {
		t.Error("its next report does not bring it back")
	}
}

// A daemon that was started again knows the server from a health check only,
// or not at all, when the server says that it leaves. A health check that was
// answered before must not bring it back.
func TestLeaveAfterARestartOfTheDaemon(t *testing.T) {
	found := newTracker()
	found.HandleProbe("a", "s", 4)
	found.MarkLeaving("a", time.UnixMilli(10))
	if s := found.Server(); s.State != life.Leaving {
		t.Errorf("found, then left: %+v", s)
	}
	fresh := newTracker()
	fresh.MarkLeaving("a", time.UnixMilli(10))
	fresh.HandleProbe("a", "s", 4)
	fresh.HandleReport(newReport("a", 10, 3, false))
	if s := fresh.Server(); s.State != life.Leaving {
		t.Errorf("left before it was known: %+v", s)
	}
	fresh.HandleReport(newReport("a", 20, 1, false))
	if s := fresh.Server(); s.State != life.Ready {
		t.Errorf("the next start: %+v", s)
	}
}

// The word that a server leaves does not say when it started, and a report that
// it sent before arrives after it, at a daemon that was started again.
func TestLateReportAfterALeaveWithoutAStart(t *testing.T) {
	now := time.Now()
	for _, found := range []bool{false, true} {
		k := life.New(addr, func() time.Time { return now }, nil)
		if found {
			k.HandleProbe("a", "s", 4)
		}
		k.MarkLeaving("a", time.Time{})
		started := now.Add(-20 * time.Second).UnixMilli()
		k.HandleReport(newReport("a", started, 15, false))
		k.HandleReport(newReport("a", started, 16, false))
		if s := k.Server(); s.State != life.Leaving {
			t.Errorf("found %t: a late report brought the server back: %+v", found, s)
		}
		k.HandleReport(newReport("a", now.Add(time.Second).UnixMilli(), 1, false))
		if s := k.Server(); s.State != life.Ready {
			t.Errorf("found %t: the next start under the ID: %+v", found, s)
		}
	}
	// The clock went back between the leave and the next start.
	k := life.New(addr, func() time.Time { return now }, nil)
	k.MarkLeaving("a", time.Time{})
	now = now.Add(time.Minute)
	k.HandleReport(newReport("a", now.Add(-2*time.Minute).UnixMilli(), 1, false))
	if s := k.Server(); s.State != life.Ready {
		t.Errorf("a minute later: %+v", s)
	}
}

// Whatever the order, what counts in the end is the newest start, and a server
// that said it leaves stays so.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newTracker()
		var newest, left int64
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			born := rapid.Int64Range(1, 4).Draw(t, "born")
			draining := rapid.Bool().Draw(t, "draining")
			before := k.Server()
			r := newReport("a", born, rapid.Int64Range(1, 5).Draw(t, "sequence"), draining)
			counts := r.StartedAt.After(before.StartedAt) || r.StartedAt.Equal(before.StartedAt) && r.Sequence > before.Sequence
			k.HandleReport(r)
			if born > newest {
				newest = born
			}
			if counts && draining {
				left = born
			}
			s := k.Server()
			if s.StartedAt != time.UnixMilli(newest) {
				t.Fatalf("start %d, want %d", s.StartedAt.UnixMilli(), newest)
			}
			if (s.State == life.Leaving) != (left == newest) {
				t.Fatalf("state %s, the newest start is %d and %d left", s.State, newest, left)
			}
		}
	})
}
