package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

// stoppingTable returns a table of three servers with 10 slots each. The daemons of all but the first one
// are stopping.
func stoppingTable(now *time.Time) *route.Table {
	t := route.New("self", "a", func() time.Time { return *now })
	var list []route.Target
	for i := range 3 {
		list = append(list, route.Target{ID: fmt.Sprintf("plots-%d", i), Service: service, Zone: "a", Slots: 10, Stopping: i > 0})
	}
	t.Update(list)
	return t
}

// report reports the load and the level of a target.
func report(t *route.Table, id string, inflight uint32, level action.Level) {
	attempt, err := t.PickByID(id, "get")
	convey.So(err, convey.ShouldBeNil)
	attempt.Done(route.Report{Load: &sycapb.Load{Inflight: inflight, Limit: 10}, Level: level})
}

func TestFreeSlotsOfStoppingServersAreNotOffered(t *testing.T) {
	const low = action.Level(1 << 16)
	convey.Convey("With two stopping servers and one that sheds", t, func() {
		now := time.Unix(1000, 0)
		tab := stoppingTable(&now)
		report(tab, "plots-0", 15, low)
		r := request(3 << 16)
		convey.Convey("what it sheds goes to the stopping ones", func() {
			convey.So(mustPick(tab, r).Target.Stopping, convey.ShouldBeTrue)
		})
		convey.Convey("also if they have not reported a level for a while", func() {
			report(tab, "plots-1", 2, low)
			report(tab, "plots-2", 2, low)
			now = now.Add(2 * time.Second)
			report(tab, "plots-0", 15, low)
			convey.So(mustPick(tab, r).Target.Stopping, convey.ShouldBeTrue)
		})
		convey.Convey("nested calls go to them, too", func() {
			r.Nested = true
			for range 8 {
				convey.So(mustPick(tab, r).Target.Stopping, convey.ShouldBeTrue)
			}
		})
		convey.Convey("callers further up do not shed it", func() {
			report(tab, "plots-1", 2, action.AdmitAll)
			convey.So(tab.Level(service, "get"), convey.ShouldEqual, action.AdmitAll)
		})
		convey.Convey("it is shed once they are full or shed it as well", func() {
			report(tab, "plots-1", 10, action.AdmitAll)
			report(tab, "plots-2", 2, low)
			_, err := tab.Pick(r)
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}

// fakeService simulates three servers that run calls of 100 ms in 10 slots each, and reject calls at
// their limit.
type fakeService struct {
	table    *route.Table
	now      time.Time
	running  map[string][]run
	rejected int
}

type run struct {
	attempt *route.Attempt
	end     time.Time
}

// step ends the runs that are due and sends one call.
func (f *fakeService) step(nested bool) {
	const slots, runTime, low = 10, 100 * time.Millisecond, action.Level(1 << 16)
	for id, runs := range f.running {
		for len(runs) > 0 && !runs[0].end.After(f.now) {
			first := runs[0]
			runs = runs[1:]
			first.attempt.Done(route.Report{Load: &sycapb.Load{Inflight: uint32(len(runs)), Limit: slots}, Level: action.AdmitAll, Latency: runTime})
		}
		f.running[id] = runs
	}
	r := request(3 << 16)
	r.Nested = nested
	attempt, err := f.table.Pick(r)
	if err != nil {
		f.rejected++
		return
	}
	runs := f.running[attempt.Target.ID]
	if len(runs) == slots {
		f.rejected++
		attempt.Done(route.Report{Load: &sycapb.Load{Inflight: slots, Limit: slots}, Level: low})
		return
	}
	f.running[attempt.Target.ID] = append(runs, run{attempt: attempt, end: f.now.Add(runTime)})
}

// The load takes 18 of the 30 slots.
func TestLoadBelowCapacityIsShedInAStop(t *testing.T) {
	for _, nested := range []bool{false, true} {
		f := &fakeService{now: time.Unix(1000, 0), running: map[string][]run{}}
		f.table = stoppingTable(&f.now)
		const calls = 900
		for range calls {
			f.step(nested)
			f.now = f.now.Add(time.Second / 180)
		}
		if f.rejected > 0 {
			t.Errorf("nested %t: %d of %d calls were rejected", nested, f.rejected, calls)
		}
	}
}

func TestFreeRatioCountsKnownSlots(t *testing.T) {
	convey.Convey("Of three servers, one full, one with eight free slots and one that did not report", t, func() {
		now := time.Unix(1000, 0)
		tab := stoppingTable(&now)
		report(tab, "plots-0", 15, action.AdmitAll)
		report(tab, "plots-1", 2, action.AdmitAll)
		convey.So(tab.FreeRatio(service), convey.ShouldAlmostEqual, 8.0/30)
		convey.Convey("none is known to be free when the reports are old or the server can't be reached", func() {
			tab.SetUnreachable("plots-1", true)
			convey.So(tab.FreeRatio(service), convey.ShouldEqual, 0)
			tab.SetUnreachable("plots-1", false)
			now = now.Add(2 * time.Second)
			convey.So(tab.FreeRatio(service), convey.ShouldEqual, 0)
		})
	})
}
