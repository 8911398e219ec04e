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

func TestTwoCrashesQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRegistry(&now)
	r := poison.Request{Service: "plots", Method: "get", Fingerprint: poison.FingerprintOf("plots", "get", 7)}
	want := func(s poison.State) {
		t.Helper()
		if got := b.State(r.Fingerprint); got != s {
			t.Fatalf("state %s, want %s", got, s)
		}
	}
	want(poison.Clear)
	b.RecordCrash("plots-1@5#1", []poison.Request{r})
	want(poison.Suspect)
	b.RecordCrash("plots-1@5#1", []poison.Request{r})
	want(poison.Suspect)
	b.RecordCrash("plots-2@6#1", []poison.Request{r})
	want(poison.Quarantined)
	if !b.Lift(r.Fingerprint) {
		t.Fatal("nothing to lift")
	}
	want(poison.Clear)
	b.Merge(&sycapb.PoisonEntry{Fingerprint: uint64(r.Fingerprint), Crashes: []string{"a", "b"}, SeenUnixMs: now.UnixMilli()})
	want(poison.Clear)
}

func TestSuspicionEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRegistry(&now)
	b.RecordCrash("a", []poison.Request{{Fingerprint: 1}})
	now = now.Add(11 * time.Minute)
	b.RecordCrash("b", []poison.Request{{Fingerprint: 2}})
	if s := b.State(1); s != poison.Clear {
		t.Fatalf("state %s eleven minutes after the crash", s)
	}
}

// Books that heard the same entries in any order agree on every state.
func TestBooksConverge(t *testing.T) {
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
			one.Merge(proto.Clone(e).(*sycapb.PoisonEntry))
		}
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			two.Merge(e)
		}
		for p := range poison.Fingerprint(4) {
			if one.State(p) != two.State(p) {
				t.Fatalf("print %d is %s here and %s there", p, one.State(p), two.State(p))
			}
		}
	})
}
