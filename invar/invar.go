// Package invar checks invariants of a running daemon and reports violations.
//
// A violation is a defect of the program, never of its input. In a test
// binary it panics; in a daemon it is counted and logged with the ID of the
// action concerned, and the count is exported as a metric.
//
//	invar.Check(spent <= given, "allowance", id, "spent %d of %d", spent, given)
package invar

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
)

var violations atomic.Int64

// Violations returns the number of violations since the process started.
func Violations() int64 {
	return violations.Load()
}

// Check reports a violation of the invariant unless ok is true. name is one
// word; id is the ID of the action concerned, the zero ID if there is none.
// format and args describe the violation.
func Check(ok bool, name string, id action.ID, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	detail := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s broken: action %s: %s", name, id, detail))
	}
	logrus.WithFields(logrus.Fields{"invariant": name, "action": id, "detail": detail}).Error("invariant broken")
}
