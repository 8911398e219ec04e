package policy_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sycamorespread.dev/policy"
)

const validPolicy = `[class dues]
rank = 0

[method payments.pay]
class = dues
repeatable = no
allowance = 8
objective = 0.999
timeout_max = 3s
`

func TestParse(t *testing.T) {
	convey.Convey("A valid policy defines its methods", t, func() {
		p, err := policy.Parse(validPolicy)
		convey.So(err, convey.ShouldBeNil)
		m, err := p.Method("payments", "pay")
		convey.So(err, convey.ShouldBeNil)
		convey.So(m.Idempotent, convey.ShouldBeFalse)
		convey.So(m.Allowance, convey.ShouldEqual, 8)
		convey.So(m.MaxTimeout, convey.ShouldEqual, 3*time.Second)
		var unknown *policy.UnknownError
		_, err = p.Method("payments", "refund")
		convey.So(errors.As(err, &unknown), convey.ShouldBeTrue)
		convey.So(unknown.Field, convey.ShouldEqual, "method")
		_, err = p.Method("pay", "refund")
		convey.So(errors.As(err, &unknown), convey.ShouldBeTrue)
		convey.So(unknown.Field, convey.ShouldEqual, "service")
	})
	convey.Convey("An invalid policy is rejected with line, section and key", t, func() {
		for _, c := range []struct {
			old, next, key string
			line           int
		}{
			{"rank = 0", "rank = 9", "rank", 2},
			{"rank = 0", "rank = 0\nweight = 1", "weight", 3},
			{"class = dues", "class = taxes", "class", 5},
			{"allowance = 8", "allowance = 0", "allowance", 7},
			{"allowance = 8", "", "allowance", 4},
			{"allowance = 8", "allowance = 8\nallowance = 9", "allowance", 7},
			{"objective = 0.999", "objective = 1", "objective", 8},
			{"repeatable = no", "repeatable = perhaps", "repeatable", 6},
			{"timeout_max = 3s", "timeout_max = 3h", "timeout_max", 9},
			{"timeout_max = 3s", "tmeout = 3s", "tmeout", 9},
			{"[method payments.pay]", "[method payments]", "", 4},
			{"[class dues]", "[klass dues]", "", 1},
		} {
			_, err := policy.Parse(strings.Replace(validPolicy, c.old, c.next, 1))
			var bad *policy.LineError
			convey.So(errors.As(err, &bad), convey.ShouldBeTrue)
			convey.So(bad.Key, convey.ShouldEqual, c.key)
			convey.So(bad.Line, convey.ShouldEqual, c.line)
		}
	})
}

func TestParseNeverPanics(t *testing.T) {
	words := []string{"[class a]", "[method s.m]", "rank = 1", "class = a", "allowance = 3", "objective = .5", "=", "[", "; x", "rank", ""}
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom(words)).Draw(t, "lines")
		_, _ = policy.Parse(strings.Join(lines, "\n"))
	})
}

func TestHolderInstallsOnlyHigherRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := policy.NewHolder(nil)
		for _, rev := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "revisions") {
			before := h.Revision()
			updated := h.Update(&policy.Policy{Revision: rev})
			if updated != (rev > before) || h.Revision() != max(before, rev) {
				t.Fatalf("Update(%d) at revision %d: updated=%t, now %d", rev, before, updated, h.Revision())
			}
		}
	})
}
