package front_test

import (
	"fmt"
	"strings"
	"testing"
)

// A time left that does not fit into a duration was taken for one that is over.
func TestOddTimeLeftIsTakenForNone(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	for n, value := range []string{"1e300", "1e13", "9e18", "+Inf", "NaN", "99999999999999999999999999"} {
		got := source.raw(fmt.Sprintf("GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r%d\r\nT-Left: %s\r\n\r\n", n, value))
		if got.status != 200 {
			t.Errorf("time left %s: status %d", value, got.status)
		}
	}
	for _, r := range target.requests() {
		if left := r.Header.Get(testHeaders.TimeLeft); strings.HasPrefix(left, "-") || len(left) > 4 {
			t.Errorf("the server got the time left %s", left)
		}
	}
}
