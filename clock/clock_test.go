package clock_test

import (
	"testing"
	"time"

	"sycamorespread.dev/clock"
)

func TestClockRuns(t *testing.T) {
	now, err := clock.New()
	if err != nil {
		t.Fatal(err)
	}
	start := now()
	time.Sleep(20 * time.Millisecond)
	if d := now().Sub(start); d < 20*time.Millisecond || d > 5*time.Second {
		t.Errorf("%s passed in 20 ms", d)
	}
	if start.String() != start.Round(0).String() {
		t.Error("the time has a second reading, of the clock that stops while suspended")
	}
}
