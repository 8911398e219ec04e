package poison_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

func TestOddEntryOutlivesItsLift(t *testing.T) {
	for name, odd := range map[string]*sycapb.PoisonEntry{
		"lifts": {Fingerprint: 7, Crashes: []string{"x", "y"}, Lifts: math.MaxUint32, SeenUnixMs: 1_000_000},
		"seen":  {Fingerprint: 7, Crashes: []string{"x", "y"}, SeenUnixMs: math.MaxInt64},
		"size":  {Fingerprint: 7, Crashes: []string{"x", strings.Repeat("y", 2000)}, SeenUnixMs: 1_000_000},
	} {
		now := time.UnixMilli(1_000_000)
		changed := 0
		r := poison.New(func() time.Time { return now }, func(e *sycapb.PoisonEntry) {
			if proto.Size(e) > 1100 {
				t.Errorf("%s: an entry of %d bytes is passed on", name, proto.Size(e))
			}
			changed++
		})
		_ = r.Merge(odd)
		r.Lift(7)
		_ = r.Merge(odd)
		if got := r.State(7); got != poison.Clear {
			t.Errorf("%s: state %s after the lift", name, got)
		}
		now = now.Add(25 * time.Hour)
		_ = r.Merge(&sycapb.PoisonEntry{Fingerprint: 8, SeenUnixMs: now.UnixMilli()})
		if list := r.Entries(); len(list) != 1 {
			t.Errorf("%s: entries %v after their time", name, list)
		}
	}
}
