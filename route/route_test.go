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
	try, err := t.Pick(r)
	convey.So(err, convey.ShouldBeNil)
	return try
}

func TestLevelsShedAndDecay(t *testing.T) {
	convey.Convey("A level heard on a reply", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a")
		low, high := action.Key(3<<16), action.Key(0)
		mustPick(tab, request(low)).Done(route.Report{Level: action.Level(1 << 16)})

		convey.Convey("sheds what is less important, with an advice when to retry", func() {
			_, err := tab.Pick(request(low))
			var shed *route.ShedError
			convey.So(errors.As(err, &shed), convey.ShouldBeTrue)
			convey.So(shed.RetryAfter, convey.ShouldBeGreaterThan, 0)
			mustPick(tab, request(high))
		})
		convey.Convey("does not shed a call in which work was invested", func() {
			r := request(low)
			r.Nested = true
			mustPick(tab, r)
		})
		convey.Convey("is open a second later when it is not heard again", func() {
			now = now.Add(time.Second)
			mustPick(tab, request(low))
			convey.So(tab.Level(service, "get"), convey.ShouldEqual, action.AdmitAll)
		})
		convey.Convey("holds for another method", func() {
			r := request(low)
			r.Method = "history"
			mustPick(tab, r)
		})
	})
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
	convey.Convey("With a server in the own zone and one in another", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a", "b")
		convey.Convey("calls stay in the own zone while it is idle", func() {
			for range 20 {
				try := mustPick(tab, request(0))
				convey.So(try.Target.Zone, convey.ShouldEqual, "a")
				try.Done(route.Report{Level: action.AdmitAll})
			}
		})
		convey.Convey("calls leave it when it is busy", func() {
			mustPick(tab, request(0)).Done(route.Report{Level: action.AdmitAll, Load: &sycapb.Load{Inflight: 9, Limit: 10}})
			convey.So(mustPick(tab, request(0)).Target.Zone, convey.ShouldEqual, "b")
		})
	})
}

func TestUnreachableServerIsAvoided(t *testing.T) {
	convey.Convey("After a failure another server is used", t, func() {
		now := time.Unix(1000, 0)
		tab := table(&now, "a", "b")
		try := mustPick(tab, request(0))
		try.Fail(true)
		convey.So(mustPick(tab, request(0)).Target.ID, convey.ShouldNotEqual, try.Target.ID)
		convey.Convey("and the failed one again when no other is left", func() {
			r := request(0)
			r.Exclude = []string{"plots-1"}
			convey.So(mustPick(tab, r).Target.ID, convey.ShouldEqual, "plots-0")
		})
	})
	convey.Convey("Without any server there is a NoServerError", t, func() {
		now := time.Unix(1000, 0)
		_, err := table(&now).Pick(request(0))
		var none *route.NoServerError
		convey.So(errors.As(err, &none), convey.ShouldBeTrue)
	})
}

func TestSuspectsGoToOneServerFromEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		fp := rapid.Uint64Range(1, 1<<62).Draw(t, "print")
		r := request(0)
		r.Sticky = fp
		one, err1 := table(&now, "a", "b", "c", "a").Pick(r)
		two, err2 := table(&now, "a", "b", "c", "a").Pick(r)
		if err1 != nil || err2 != nil || one.Target.ID != two.Target.ID {
			t.Fatalf("print %x goes to %v and %v", fp, one, two)
		}
	})
}

func TestSubsetIsBoundedAndKept(t *testing.T) {
	now := time.Unix(1000, 0)
	zones := make([]string, 200)
	for i := range zones {
		zones[i] = string(rune('a' + i%2))
	}
	seen := map[string]bool{}
	tab := table(&now, zones...)
	for range 5000 {
		try, err := tab.Pick(request(0))
		if err != nil {
			t.Fatal(err)
		}
		seen[try.Target.ID] = true
		try.Done(route.Report{Level: action.AdmitAll})
	}
	if len(seen) > 32 {
		t.Fatalf("%d servers of 200 are used from two zones, want at most 32", len(seen))
	}
}

// Three servers were heard while there was room, five since the surge began.
// The level of the service is that of the later ones, but one of them alone
// does not close it.
func TestLevelOfAServiceIsTheMiddleOfTheLatest(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(&now, "a", "a", "a", "a", "a", "a", "a", "a")
	hear := func(i int, level action.Level) {
		try, err := tab.PickByID(fmt.Sprintf("plots-%d", i), "get")
		if err != nil {
			t.Fatal(err)
		}
		try.Done(route.Report{Level: level})
	}
	for i := range 3 {
		hear(i, action.AdmitAll)
	}
	now = now.Add(500 * time.Millisecond)
	const low = action.Level(1 << 16)
	hear(3, low)
	if got := tab.Level(service, "get"); got != action.AdmitAll {
		t.Errorf("one low level of four made it %d", got)
	}
	for i := 4; i < 8; i++ {
		hear(i, low)
	}
	if got := tab.Level(service, "get"); got != low {
		t.Errorf("level %d, want %d", got, low)
	}
	if _, err := tab.Pick(request(3 << 16)); err == nil {
		t.Error("a server that was heard before the surge took the request")
	}
}
