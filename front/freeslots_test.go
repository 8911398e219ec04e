package front_test

import (
	"testing"

	"sycamorespread.dev/action"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

func TestShedRequestDoesNotTellFreeSlots(t *testing.T) {
	c := newCluster(t, viewRoute)
	one, two := c.add("other"), c.add("plots")
	attempt, err := one.table.PickByID(two.id, "view")
	if err != nil {
		t.Fatal(err)
	}
	attempt.Done(route.Report{Level: action.Level(0), Load: &sycapb.Load{Inflight: 2, Limit: 8}})
	if got := one.request("GET", "/view/a", "r1", ""); got.status != 503 {
		t.Fatalf("status %d", got.status)
	}
	if lines := c.logLines.matching("msg=request", "request=r1", "outcome=shed", "free_percent=75"); len(lines) != 1 {
		t.Errorf("log lines %v", c.logLines.matching("msg=request"))
	}
	shed := map[string]float64{}
	for _, m := range one.Stats.Snapshot() {
		shed[m.Name] = m.Value
	}
	if shed["request.shed_free_percent.count"] != 1 || shed["request.shed_free_percent.max"] != 75 {
		t.Errorf("metrics %v", shed)
	}
}
