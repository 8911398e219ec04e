package fresh_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/fresh"
)

// fixture is a Tracker with a clock and a policy revision that the test sets.
type fixture struct {
	*fresh.Tracker
	now      time.Time
	revision uint64
	log      bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	log := logrus.New()
	log.SetOutput(&f.log)
	f.Tracker = fresh.New(fresh.Config{
		MaxAge:   time.Second,
		Revision: func() uint64 { return f.revision },
		Now:      func() time.Time { return f.now },
		Log:      logrus.NewEntry(log),
	})
	return f
}

func (f *fixture) expectRemaining(t *testing.T, want time.Duration) {
	t.Helper()
	if got := f.Remaining(); got != want {
		t.Errorf("remaining %s, want %s", got, want)
	}
}

func TestConfirmationAges(t *testing.T) {
	f := newFixture()
	f.expectRemaining(t, 0)
	f.revision = 7
	f.expectRemaining(t, 0)
	f.Confirm(7, f.now, "platform")
	f.expectRemaining(t, time.Second)
	f.now = f.now.Add(300 * time.Millisecond)
	f.expectRemaining(t, 700*time.Millisecond)
	f.Confirm(7, f.now.Add(-400*time.Millisecond), "peer")
	f.expectRemaining(t, 700*time.Millisecond)
	f.Confirm(7, f.now.Add(-100*time.Millisecond), "peer")
	f.expectRemaining(t, 900*time.Millisecond)
	f.now = f.now.Add(2 * time.Second)
	f.expectRemaining(t, 0)
}

func TestConfirmationOfAnotherRevisionIsIgnored(t *testing.T) {
	f := newFixture()
	f.revision = 7
	f.Confirm(6, f.now, "peer")
	f.Confirm(9, f.now, "peer")
	f.expectRemaining(t, 0)
	f.Confirm(7, f.now, "peer")
	f.revision = 9
	f.expectRemaining(t, 0)
	// A confirmation of the new revision counts although the old one was confirmed later.
	f.Confirm(9, f.now.Add(-100*time.Millisecond), "peer")
	f.expectRemaining(t, 900*time.Millisecond)
}

func TestLossIsLoggedOnce(t *testing.T) {
	f := newFixture()
	f.revision = 7
	f.Confirm(7, f.now, "10.0.0.1:1")
	f.ReportLost(nil)
	if f.log.Len() > 0 {
		t.Errorf("logged while confirmed: %s", f.log.String())
	}
	f.now = f.now.Add(1500 * time.Millisecond)
	f.ReportLost(nil)
	f.ReportLost(nil)
	if got := f.log.String(); strings.Count(got, "policy not confirmed") != 1 || !strings.Contains(got, "age_ms=1500") || !strings.Contains(got, "10.0.0.1:1") {
		t.Errorf("log %q", got)
	}
	f.Confirm(7, f.now, "platform")
	if got := f.log.String(); strings.Count(got, "policy confirmed again") != 1 || !strings.Contains(got, "gap_ms=1500") {
		t.Errorf("log %q", got)
	}
}

func TestDelayOfAnnouncedPolicy(t *testing.T) {
	f := newFixture()
	f.revision = 7
	f.Announce(7)
	if got := f.TakeDelay(); got != 0 {
		t.Errorf("delay %s without an announcement", got)
	}
	f.Announce(9)
	f.now = f.now.Add(time.Second)
	f.Announce(9)
	if got := f.TakeDelay(); got != time.Second {
		t.Errorf("delay %s", got)
	}
}
