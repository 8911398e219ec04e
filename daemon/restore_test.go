package daemon_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/caller"
	"sycamorespread.dev/fakekv"
	"sycamorespread.dev/sycapb"
)

// entryTimeout is the time after the return of the store within which the users require lost entries
// to be back.
const entryTimeout = 2 * time.Second

// seeds returns the number of seed records in the store.
func (s *httpCluster) seeds() int {
	s.t.Helper()
	page, err := s.store.kv.Transport().Range(s.t.Context(), "seed/", "", false)
	if err != nil {
		s.t.Fatal(err)
	}
	return len(page.Items)
}

// newSeeded returns a cluster of daemons, each of which has a seed record.
func newSeeded(t *testing.T, zones, perZone int) *httpCluster {
	t.Helper()
	s := newHTTPCluster(t)
	s.zones = zones
	s.configure(7, "two")
	s.add("one")
	for len(s.nodes) < zones*perZone {
		s.add("two")
	}
	for _, n := range s.nodes {
		s.awaitServed(5*time.Second, n, "two")
	}
	s.eventually(5*time.Second, "seed records", func() bool { return s.seeds() == len(s.nodes) })
	return s
}

// restoreEmpty restores the store from an empty copy, and grants its lease IDs to others.
func (s *httpCluster) restoreEmpty(cut bool) {
	s.t.Helper()
	s.store.kv.Restore(fakekv.New(time.Now).Copy(), cut)
	for range 30 {
		if _, err := s.store.kv.Transport().Grant(s.t.Context(), time.Hour); err != nil {
			s.t.Fatal(err)
		}
	}
	s.configure(7, "two")
}

func TestSeedIsMissingForGoodAfterARestore(t *testing.T) {
	s := newSeeded(t, 1, 2)
	s.restoreEmpty(true)
	s.eventually(15*time.Second, "seed records", func() bool { return s.seeds() == 2 })
}

func TestSeedIsMissingForLongAfterARestore(t *testing.T) {
	for _, cut := range []bool{true, false} {
		s := newSeeded(t, 1, 2)
		// The first renewal of the leases is due in 10 s.
		time.Sleep(time.Second)
		s.restoreEmpty(cut)
		s.eventually(entryTimeout, "seed records", func() bool { return s.seeds() == 2 })
	}
}

func TestSeedOfADaemonThatDoesNotWatchIsMissingForLong(t *testing.T) {
	s := newSeeded(t, 3, 3)
	time.Sleep(time.Second)
	s.restoreEmpty(true)
	s.eventually(entryTimeout, "seed records", func() bool { return s.seeds() == len(s.nodes) })
}

// revision returns the number of the latest revision of the store.
func (s *httpCluster) revision() uint64 {
	s.t.Helper()
	it, err := s.store.kv.Transport().Get(s.t.Context(), "none")
	if err != nil {
		s.t.Fatal(err)
	}
	return it.StoreRevision.Number
}

func TestVersionIsLateIfARestoredStoreReachesItsRevision(t *testing.T) {
	for _, cut := range []bool{true, false} {
		s := newHTTPCluster(t)
		s.configure(7, "two")
		for range 3 {
			s.add("one")
		}
		s.add("two")
		for _, n := range s.nodes {
			s.eventually(5*time.Second, "ready", n.isReady)
		}
		time.Sleep(watchEnd)
		backup := s.store.kv.Copy()
		s.configure(9, "one")
		s.configure(10, "one")
		for _, n := range s.nodes {
			s.awaitServed(applyTimeout, n, "one")
		}
		time.Sleep(watchEnd)
		known := s.revision()
		s.store.kv.Restore(backup, cut)
		s.configure(10, "one")
		s.configure(11, "two")
		for s.revision() < known {
			s.store.kv.Put("other", nil)
		}
		for _, n := range s.nodes {
			s.awaitServed(applyTimeout, n, "two")
		}
	}
}

func TestVersionComesBackOlderAfterARestore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one := s.add("one")
	s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	backup := s.store.kv.Copy()
	s.configure(9, "one")
	for _, n := range s.nodes {
		s.awaitServed(applyTimeout, n, "one")
	}
	s.store.kv.Restore(backup, true)
	restarted := s.nodes[1]
	restarted.restart()
	s.awaitServed(5*time.Second, restarted, "one")
	for end := time.Now().Add(2 * applyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range s.nodes {
			if _, _, body := n.request("older"); strings.HasPrefix(body, "from two") {
				t.Fatalf("%s serves by the version of the copy", n.id)
			}
		}
	}
}

func TestKeyRunsAgainAfterARestore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		known, again bool
	}{{true, true}, {false, true}, {true, false}, {false, false}} {
		f := newCluster(t)
		f.addStore()
		first, second := f.add("front", 10), f.add("front", 10)
		f.awaitReady()
		do := func(entry *node, key string) *caller.Result {
			req := pay("x")
			req.IdempotencyKey = key
			return f.client(0, entry).Do(context.Background(), req)
		}
		if res := do(first, "before"); res.Outcome != sycapb.Outcome_OUTCOME_DONE {
			t.Fatalf("%s %s", res.Outcome, res.Detail)
		}
		backup := f.store.Copy()
		if res := do(first, "season 2027"); res.Outcome != sycapb.Outcome_OUTCOME_DONE {
			t.Fatalf("%s %s", res.Outcome, res.Detail)
		}
		runs := first.runs.Load() + second.runs.Load()
		f.store.Restore(backup, true)
		if c.known {
			time.Sleep(entryTimeout)
		}
		entry := second
		if c.again {
			entry = first
		}
		for range 3 {
			if res := do(entry, "season 2027"); res.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || res.Reason != sycapb.Reason_REASON_PLATFORM {
				t.Errorf("%+v: %s %s %s", c, res.Outcome, res.Reason, res.Detail)
			}
		}
		if now := first.runs.Load() + second.runs.Load(); now != runs {
			t.Errorf("%+v: a call with a key that has run ran again", c)
		}
	}
}

// restoreAge returns the time since the latest restore that the daemon knows of, 0 if it knows none.
func (n *node) restoreAge() time.Duration {
	r, err := n.operator().Metrics(context.Background(), connect.NewRequest(&sycapb.MetricsRequest{}))
	if err != nil {
		return 0
	}
	for _, m := range r.Msg.Metrics {
		if m.Name == "platform.restore_age_ms" {
			return time.Duration(m.Value) * time.Millisecond
		}
	}
	return 0
}

func TestRestartedDaemonDoesNotKnowOfARestore(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	f.addStore()
	first, second := f.add("front", 10), f.add("front", 10)
	f.awaitReady()
	f.store.Restore(f.store.Copy(), true)
	const age = 4 * time.Second
	for end := time.Now().Add(readyTimeout); first.restoreAge() < age; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the restore is not noticed")
		}
	}
	second.stop()
	if err := <-second.done; err != nil {
		t.Fatal(err)
	}
	f.run(second)
	for end := time.Now().Add(readyTimeout); second.restoreAge() < age; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("age %s, the other daemon knows %s", second.restoreAge(), first.restoreAge())
		}
	}
	if slack := first.restoreAge() - second.restoreAge(); slack > time.Second {
		t.Errorf("the restarted daemon takes the restore for %s younger", slack)
	}
	req := pay("x")
	req.IdempotencyKey = "new"
	if res := f.client(0, second).Do(context.Background(), req); res.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
		t.Errorf("a call with a key that the restore may have lost: %s", res.Outcome)
	}
}

func TestMembersAreLostInARestore(t *testing.T) {
	s := newSeeded(t, 1, 3)
	s.store.kv.Restore(fakekv.New(time.Now).Copy(), true)
	for end := time.Now().Add(2 * applyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range s.nodes {
			if status, _, body := n.request("r"); status != 200 || !strings.HasPrefix(body, "from two") {
				t.Fatalf("%s: status %d %s, %v", n.id, status, body, n.log.Load().LastEntry().Data)
			}
		}
	}
}
