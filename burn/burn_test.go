package burn_test

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"sycamorespread.dev/burn"
	"sycamorespread.dev/sycapb"
)

func TestWindows(t *testing.T) {
	convey.Convey("Counts leave the short window, then the long window", t, func() {
		now := time.Unix(100_000, 0)
		r := burn.New(func() time.Time { return now })
		method := burn.Method{Service: "payments", Name: "pay", Class: "dues"}
		for range 99 {
			r.Record(method, 0.99, true)
		}
		r.Record(method, 0.99, false)
		row := r.Rows()[0]
		convey.So(row.ShortGood, convey.ShouldEqual, 99)
		convey.So(math.Abs(burn.Rate(row.ShortGood, row.ShortBad, 0.99)-1), convey.ShouldBeLessThan, 1e-9)
		now = now.Add(6 * time.Minute)
		row = r.Rows()[0]
		convey.So(row.ShortGood+row.ShortBad, convey.ShouldEqual, 0)
		convey.So(row.LongGood, convey.ShouldEqual, 99)
		now = now.Add(time.Hour)
		row = r.Rows()[0]
		convey.So(row.LongGood+row.LongBad, convey.ShouldEqual, 0)
	})
}

func TestMergeAddsRowsOfDaemons(t *testing.T) {
	convey.Convey("Rows of several daemons are added by method", t, func() {
		a := []*sycapb.BurnRow{{Service: "s", Method: "m", Class: "c", Objective: 0.9, LongGood: 3, GoodSeries: []uint64{1, 2}}}
		b := []*sycapb.BurnRow{{Service: "s", Method: "m", Class: "c", Objective: 0.9, LongBad: 1, GoodSeries: []uint64{0, 1}}}
		rows := burn.Merge(a, b)
		convey.So(len(rows), convey.ShouldEqual, 1)
		convey.So(rows[0].LongGood, convey.ShouldEqual, 3)
		convey.So(rows[0].LongBad, convey.ShouldEqual, 1)
		convey.So(rows[0].GoodSeries, convey.ShouldResemble, []uint64{1, 3})
	})
}
