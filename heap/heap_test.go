package heap_test

import (
	"testing"

	"sycamorespread.dev/heap"
)

func TestGCPercentLeavesSameHeadroom(t *testing.T) {
	const mb = 1 << 20
	for live, want := range map[int64]int{0: 100, mb / 2: 100, 4 * mb: 100, 8 * mb: 50, 10 * mb: 40, 100 * mb: 25} {
		if got := heap.GCPercent(4*mb, live); got != want {
			t.Errorf("%d live bytes: %d %%, want %d", live, got, want)
		}
	}
}
