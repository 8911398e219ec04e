package poison_test

import (
	"testing"
	"time"

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
				Crashes:     rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2, rapid.ID[string]).Draw(t, "crashes"),
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
			if one.State(fp) != two.State(fp) {
				t.Fatalf("fingerprint %d is %s in one registry and %s in the other", fp, one.State(fp), two.State(fp))
			}
		}
	})
}
