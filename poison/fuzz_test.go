package poison_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

// FuzzEntry merges two arbitrary entries: an entry fits into a packet, another daemon takes it, and an
// operator can lift it at both.
func FuzzEntry(f *testing.F) {
	add := func(a, b *sycapb.PoisonEntry) {
		rawA, errA := proto.Marshal(a)
		rawB, errB := proto.Marshal(b)
		if errA != nil || errB != nil {
			f.Fatal(errA, errB)
		}
		f.Add(rawA, rawB)
	}
	add(&sycapb.PoisonEntry{Fingerprint: 7, Crashes: []string{"x", "y"}, SeenUnixMs: 1_000_000}, &sycapb.PoisonEntry{Fingerprint: 7, Lifts: 1, SeenUnixMs: 1})
	add(&sycapb.PoisonEntry{Fingerprint: 7, Crashes: []string{"", "y"}, SeenUnixMs: -1 << 63}, &sycapb.PoisonEntry{Fingerprint: 7, Lifts: 1<<32 - 1, SeenUnixMs: 1<<63 - 1})
	add(&sycapb.PoisonEntry{Fingerprint: 7, Lifts: 1_000_000, Crashes: []string{"x"}, SeenUnixMs: 1_000_000}, &sycapb.PoisonEntry{})
	add(&sycapb.PoisonEntry{Fingerprint: 7, Lifts: 1 << 20, Crashes: []string{"x", "y"}, SeenUnixMs: 1_000_000}, &sycapb.PoisonEntry{})
	add(&sycapb.PoisonEntry{Fingerprint: 7, Crashes: []string{strings.Repeat("x", 900)}, SeenUnixMs: 1_000_000}, &sycapb.PoisonEntry{Fingerprint: 7, Crashes: []string{strings.Repeat("y", 900)}, SeenUnixMs: 1_000_000})
	f.Fuzz(func(t *testing.T, rawA, rawB []byte) {
		a, b := new(sycapb.PoisonEntry), new(sycapb.PoisonEntry)
		if proto.Unmarshal(rawA, a) != nil || proto.Unmarshal(rawB, b) != nil {
			return
		}
		now := func() time.Time { return time.UnixMilli(1_000_000) }
		other := poison.New(now, nil)
		r := poison.New(now, func(e *sycapb.PoisonEntry) {
			if err := other.Merge(e); err != nil {
				t.Errorf("another daemon refuses %v: %v", e, err)
			}
		})
		for _, e := range []*sycapb.PoisonEntry{a, b} {
			var invalid *poison.EntryError
			if err := r.Merge(e); err != nil && !errors.As(err, &invalid) {
				t.Errorf("error %T %v", err, err)
			}
		}
		for _, e := range []*sycapb.PoisonEntry{a, b} {
			fp := poison.Fingerprint(e.Fingerprint)
			r.Lift(fp)
			if r.State(fp) != poison.Clear || other.State(fp) != poison.Clear {
				t.Errorf("%x: states %s and %s after the lift", e.Fingerprint, r.State(fp), other.State(fp))
			}
		}
	})
}
