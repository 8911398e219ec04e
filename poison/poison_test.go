package poison_test

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

func newRegistry(now *time.Time) *poison.Registry {
	return poison.New(func() time.Time { return *now }, func(*sycapb.PoisonEntry) {})
}

func TestTwoCrashesQuarantineARequest(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := newRegistry(&now)
	req := poison.Request{Service: "plots", Method: "get", Fingerprint: poison.FingerprintOf("plots", "get", 7)}
	want := func(state poison.State) {
		t.Helper()
		if got := registry.State(req.Fingerprint); got != state {
			t.Fatalf("state %s, want %s", got, state)
		}
	}
	want(poison.Clear)
	registry.RecordCrash("plots-1@5#1", []poison.Request{req})
	want(poison.Suspect)
	registry.RecordCrash("plots-1@5#1", []poison.Request{req})
	want(poison.Suspect)
	registry.RecordCrash("plots-2@6#1", []poison.Request{req})
	want(poison.Quarantined)
	if !registry.Lift(req.Fingerprint) {
		t.Fatal("Lift found no entry")
	}
	want(poison.Clear)
	_ = registry.Merge(&sycapb.PoisonEntry{Fingerprint: uint64(req.Fingerprint), Crashes: []string{"a", "b"}, SeenUnixMs: now.UnixMilli()})
	want(poison.Clear)
}

// A harmless request that was in flight at both crashes was quarantined with the one that caused them.
func TestSeveralSuspectsOfACrashAllQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := newRegistry(&now)
	harmless, bad := poison.Request{Fingerprint: 1}, poison.Request{Fingerprint: 2}
	for _, crash := range []string{"a", "b", "c"} {
		registry.RecordCrash(crash, []poison.Request{harmless, bad, harmless})
		if one, two := registry.State(1), registry.State(2); one == poison.Quarantined || two == poison.Quarantined {
			t.Fatalf("after crash %s the requests are %s and %s", crash, one, two)
		}
	}
	if s := registry.State(1); s != poison.Isolated {
		t.Errorf("a suspect of three crashes is %s", s)
	}
	registry.RecordCrash("d", []poison.Request{bad, {Fingerprint: 3}})
	if one, two := registry.State(1), registry.State(2); one != poison.Isolated || two != poison.Quarantined {
		t.Errorf("after a crash with one isolated request in flight the requests are %s and %s", one, two)
	}
}

// The only suspect of a crash that two lost requests recorded at once counted as one of several.
func TestCrashRecordedTwiceAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	inflight := []poison.Request{{Fingerprint: 1}, {Fingerprint: 2}}
	var registry *poison.Registry
	var g errgroup.Group
	var once sync.Once
	registry = poison.New(func() time.Time { return now }, func(e *sycapb.PoisonEntry) {
		if e.Fingerprint == 2 {
			return
		}
		once.Do(func() {
			g.Go(func() error {
				registry.RecordCrash("b", inflight)
				return nil
			})
			// The other goroutine may record the crash before this one goes on.
			time.Sleep(20 * time.Millisecond)
		})
	})
	registry.AddCrash("a", inflight[1])
	registry.RecordCrash("b", inflight)
	_ = g.Wait()
	if s := registry.State(2); s != poison.Quarantined {
		t.Errorf("the only suspect is %s", s)
	}
}

// A request that is retried before the news of the first crash has arrived counts as a suspect.
func TestRetryBeforeTheNewsOfACrash(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := newRegistry(&now)
	registry.RecordCrash("b", []poison.Request{{Fingerprint: 1, Known: poison.Suspect}, {Fingerprint: 2, Known: poison.Suspect}})
	registry.AddCrash("a", poison.Request{Fingerprint: 1})
	if s := registry.State(1); s != poison.Isolated {
		t.Errorf("state %s", s)
	}
}

func TestSuspectExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := newRegistry(&now)
	registry.RecordCrash("a", []poison.Request{{Fingerprint: 1}})
	now = now.Add(11 * time.Minute)
	registry.RecordCrash("b", []poison.Request{{Fingerprint: 2}})
	if s := registry.State(1); s != poison.Clear {
		t.Fatalf("state %s eleven minutes after the crash", s)
	}
}

// Registries that received the same entries in any order agree on every state.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *sycapb.PoisonEntry {
			return &sycapb.PoisonEntry{
				Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "print"),
				Crashes:     rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "a~", "d~", "b+", "e+", "f+"}), 0, 3, rapid.ID[string]).Draw(t, "crashes"),
				Lifts:       rapid.Uint32Range(0, 2).Draw(t, "lifts"),
				SeenUnixMs:  now.UnixMilli(),
			}
		}), 1, 12).Draw(t, "entries")
		one, two := newRegistry(&now), newRegistry(&now)
		for _, e := range entries {
			_ = one.Merge(proto.Clone(e).(*sycapb.PoisonEntry))
		}
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			_ = two.Merge(e)
		}
		for fp := range poison.Fingerprint(4) {
			if one.Digest() != two.Digest() {
				t.Fatalf("digests differ: %v, %v", one.Entries(), two.Entries())
			}
			if one.State(fp) != two.State(fp) {
				t.Fatalf("fingerprint %d is %s in one registry and %s in the other", fp, one.State(fp), two.State(fp))
			}
		}
	})
}

// Two servers crashed at the same moment, and the harmless request that both ran was refused for a day.
func TestRequestAtTwoCrashesAtOnceIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := newRegistry(&now), newRegistry(&now)
	popular := poison.Request{Fingerprint: 1, Fresh: true}
	one.RecordCrash("a", []poison.Request{popular, {Fingerprint: 2, Fresh: true}})
	two.RecordCrash("b", []poison.Request{popular})
	// The second daemon learns of the first crash before it records its own.
	three := newRegistry(&now)
	three.RecordCrash("a", []poison.Request{popular})
	three.RecordCrash("b", []poison.Request{popular})
	for _, e := range two.Entries() {
		if err := one.Merge(e); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range []*poison.Registry{one, three} {
		if s := r.State(1); s != poison.Isolated {
			t.Errorf("after two crashes at once the request is %s", s)
		}
	}
	// One that crashes a server alone after that is the cause.
	one.RecordCrash("c", []poison.Request{{Fingerprint: 1, Known: poison.Isolated}})
	if s := one.State(1); s != poison.Quarantined {
		t.Errorf("after a crash without other suspects the request is %s", s)
	}
	three.Lift(1)
	if s := three.State(1); s != poison.Clear {
		t.Errorf("after a success the request is %s", s)
	}
}

// Harmless requests that were in flight at earlier crashes filled the registry, and a request that crashes servers
// was not recorded.
func TestFullRegistryRecordsNoCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := newRegistry(&now)
	quarantined := poison.Request{Fingerprint: 1}
	registry.RecordCrash("q1", []poison.Request{quarantined})
	registry.RecordCrash("q2", []poison.Request{quarantined})
	next := poison.Fingerprint(100)
	crash := func(id string, req ...poison.Request) {
		for range 250 {
			next++
			req = append(req, poison.Request{Fingerprint: next, Fresh: true})
		}
		registry.RecordCrash(id, req)
		now = now.Add(5 * time.Second)
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		crash(id)
	}
	bad := poison.Request{Fingerprint: 2}
	for _, id := range []string{"x", "y"} {
		crash(id, bad)
	}
	for _, fp := range []poison.Fingerprint{1, 2} {
		if s := registry.State(fp); s != poison.Quarantined {
			t.Errorf("request %d is %s", fp, s)
		}
	}
	if n := len(registry.Entries()); n > 1024 {
		t.Errorf("%d entries", n)
	}
}
