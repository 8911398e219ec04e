package route_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

const service = "plots"

func table(now *time.Time, zones ...string) *route.Table {
	t := route.New("self", "a", func() time.Time { return *now })
	var list []route.Target
	for i, z := range zones {
		list = append(list, route.Target{
			ID:      fmt.Sprintf("plots-%d", i),
			Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7100),
			Service: service,
			Zone:    z,
			Slots:   10,
		})
	}
	t.Update(list)
	return t
}

func request(key action.Key) route.Request {
	return route.Request{Service: service, Method: "get", Key: key}
}

func mustPick(t *route.Table, r route.Request) *route.Attempt {
	attempt, err := t.Pick(r)
	convey.So(err, convey.ShouldBeNil)
	return attempt
}

func TestLevelsShedAndDecay(t *testing.T) {
	convey.Convey("A level reported in a response", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a")
		lowPriority, highPriority := action.Key(3<<16), action.Key(0)
		mustPick(tab, request(lowPriority)).Done(route.Report{Level: action.Level(1 << 16)})

		convey.Convey("sheds less important calls and returns when to retry", func() {
			_, err := tab.Pick(request(lowPriority))
			var shed *route.ShedError
			convey.So(errors.As(err, &shed), convey.ShouldBeTrue)
			convey.So(shed.RetryAfter, convey.ShouldBeGreaterThan, 0)
			mustPick(tab, request(highPriority))
		})
		convey.Convey("does not shed a nested call", func() {
			r := request(lowPriority)
			r.Nested = true
			mustPick(tab, r)
		})
		convey.Convey("admits all calls if it is not reported again within a second", func() {
			now = now.Add(time.Second)
			mustPick(tab, request(lowPriority))
			convey.So(tab.Level(service, "get"), convey.ShouldEqual, action.AdmitAll)
		})
		convey.Convey("does not apply to another method", func() {
			r := request(lowPriority)
			r.Method = "history"
			mustPick(tab, r)
		})
	})
}

func TestZonePreferenceAndSpillover(t *testing.T) {
	convey.Convey("With a server in the local zone and one in another", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a", "b")
		convey.Convey("calls stay in the local zone while it is idle", func() {
			for range 20 {
				attempt := mustPick(tab, request(0))
				convey.So(attempt.Target.Zone, convey.ShouldEqual, "a")
				attempt.Done(route.Report{Level: action.AdmitAll})
			}
		})
		convey.Convey("calls go to the other zone when the local one is busy", func() {
			mustPick(tab, request(0)).Done(route.Report{Level: action.AdmitAll, Load: &sycapb.Load{Inflight: 9, Limit: 10}})
			convey.So(mustPick(tab, request(0)).Target.Zone, convey.ShouldEqual, "b")
		})
	})
}

func TestUnreachableServerBacksOff(t *testing.T) {
	convey.Convey("After a failure another server is picked", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a", "b")
		attempt := mustPick(tab, request(0))
		attempt.Fail(true)
		convey.So(mustPick(tab, request(0)).Target.ID, convey.ShouldNotEqual, attempt.Target.ID)
		convey.Convey("and the failed one is picked if no other is left", func() {
			r := request(0)
			r.Exclude = []string{"plots-1"}
			convey.So(mustPick(tab, r).Target.ID, convey.ShouldEqual, "plots-0")
		})
	})
	convey.Convey("Without servers Pick returns a NoServerError", t, func() {
		now := time.Unix(1000, 0)
		_, err := table(&now).Pick(request(0))
		var none *route.NoServerError
		convey.So(errors.As(err, &none), convey.ShouldBeTrue)
	})
}

// While its daemon prepares to stop, a server still serves. It gets the calls for
// which no other server has room or can be reached.
func TestStoppingServerIsTheLastChoice(t *testing.T) {
	convey.Convey("With a stopping server and another one", t, func() {
		now := time.Unix(1000, 0)
		tab := route.New("self", "a", func() time.Time { return now })
		targets := []route.Target{
			{ID: "stopping", Service: service, Zone: "a", Slots: 10, Stopping: true},
			{ID: "other", Service: service, Zone: "b", Slots: 10},
		}
		tab.Update(targets)
		convey.Convey("all calls go to the other one while it has room", func() {
			for range 20 {
				attempt := mustPick(tab, request(0))
				convey.So(attempt.Target.ID, convey.ShouldEqual, "other")
				attempt.Done(route.Report{Level: action.AdmitAll, Load: &sycapb.Load{Inflight: 6, Limit: 10}})
			}
		})
		convey.Convey("calls go to the stopping one while the other fails", func() {
			mustPick(tab, request(0)).Fail(true)
			convey.So(mustPick(tab, request(0)).Target.ID, convey.ShouldEqual, "stopping")
		})
		convey.Convey("calls go to the stopping one once it is the only one", func() {
			tab.Update(targets[:1])
			convey.So(mustPick(tab, request(0)).Target.ID, convey.ShouldEqual, "stopping")
		})
	})
}

func TestStickyTargetIsSameAtAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		fp := rapid.Uint64Range(1, 1<<62).Draw(t, "print")
		r := request(0)
		r.Sticky = fp
		one, err1 := table(&now, "a", "b", "c", "a").Pick(r)
		two, err2 := table(&now, "a", "b", "c", "a").Pick(r)
		if err1 != nil || err2 != nil || one.Target.ID != two.Target.ID {
			t.Fatalf("fingerprint %x goes to %v and %v", fp, one, two)
		}
	})
}

func TestSubsetIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	zones := make([]string, 200)
	for i := range zones {
		zones[i] = string(rune('a' + i%2))
	}
	seen := map[string]bool{}
	tab := table(&now, zones...)
	for range 5000 {
		attempt, err := tab.Pick(request(0))
		if err != nil {
			t.Fatal(err)
		}
		seen[attempt.Target.ID] = true
		attempt.Done(route.Report{Level: action.AdmitAll})
	}
	if len(seen) > 32 {
		t.Fatalf("%d of 200 servers in two zones were picked, want at most 32", len(seen))
	}
}

// Three servers reported a level before a surge, five after it began. The level
// of the service follows the later reports, but a single one does not change it.
func TestServiceLevelIsMedianOfLatest(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "a", "a", "a", "a", "a", "a", "a")
	report := func(i int, level action.Level) {
		attempt, err := tab.PickByID(fmt.Sprintf("plots-%d", i), "get")
		if err != nil {
			t.Fatal(err)
		}
		attempt.Done(route.Report{Level: level})
	}
	for i := range 3 {
		report(i, action.AdmitAll)
	}
	now = now.Add(500 * time.Millisecond)
	const low = action.Level(1 << 16)
	report(3, low)
	if got := tab.Level(service, "get"); got != action.AdmitAll {
		t.Errorf("service level %d after one low level of four", got)
	}
	for i := 4; i < 8; i++ {
		report(i, low)
	}
	if got := tab.Level(service, "get"); got != low {
		t.Errorf("service level %d, want %d", got, low)
	}
	if _, err := tab.Pick(request(3 << 16)); err == nil {
		t.Error("Pick chose a server whose last report was before the surge")
	}
}
