package heap_test

import (
	"testing"

	"sycamorespread.dev/heap"
)

func TestShareLeavesTheSameRoom(t *testing.T) {
	const mb = 1 << 20
	for used, want := range map[int64]int{0: 100, mb / 2: 100, 4 * mb: 100, 8 * mb: 50, 10 * mb: 40, 100 * mb: 25} {
		if got := heap.GCPercent(4*mb, used); got != want {
			t.Errorf("%d bytes in use: %d %%, want %d", used, got, want)
		}
	}
}
