// Package invar counts and reports broken invariants of a running daemon.
//
// A broken invariant is a defect of the program, never of its input. In a
// test binary it panics; in a daemon it is counted and logged with the
// action that it concerns, and operators see the count among the metrics.
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

// Violations returns how many invariants were found broken since the start.
func Violations() int64 {
	return violations.Load()
}

// Check reports a broken invariant unless ok holds. The name is one word and
// id names the action concerned, zero for none.
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
