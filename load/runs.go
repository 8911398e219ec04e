package load

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"sycamorespread.dev/action"
)

// Runs counts the runs that the simulated backend servers recorded in their ledgers.
type Runs struct {
	// MaxPerAction is the maximum number of runs that one action caused.
	MaxPerAction uint32
	// Total is the number of all runs.
	Total uint64
	// Duplicates lists the non-idempotent calls that ran more than once for an action.
	Duplicates []string
	// FalseNotRun lists the actions that were reported as not run but ran.
	FalseNotRun []string

	perAction map[action.ID]uint32
	perMethod map[runKey]uint32
}

type runKey struct {
	id     action.ID
	method string
}

// LedgerError reports a malformed line of a ledger.
type LedgerError struct {
	File string
	Line string
}

func (e *LedgerError) Error() string {
	return fmt.Sprintf("ledger %s: %q is not ACTION SERVICE.METHOD", e.File, e.Line)
}

// NewRuns returns empty Runs.
func NewRuns() *Runs {
	return &Runs{perAction: map[action.ID]uint32{}, perMethod: map[runKey]uint32{}}
}

// ReadLedger adds the runs of one ledger file. Each line is "ACTION SERVICE.METHOD".
func (u *Runs) ReadLedger(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		actionHex, method, ok := strings.Cut(lines.Text(), " ")
		raw, hexErr := hex.DecodeString(actionHex)
		id, idErr := action.ParseID(raw)
		if !ok || hexErr != nil || idErr != nil {
			return &LedgerError{File: file, Line: lines.Text()}
		}
		u.add(id, method)
	}
	return lines.Err()
}

func (u *Runs) add(id action.ID, method string) {
	u.Total++
	u.perAction[id]++
	u.perMethod[runKey{id: id, method: method}]++
	u.MaxPerAction = max(u.MaxPerAction, u.perAction[id])
}

// Check compares the runs with the outcomes that callers got. The methods in
// nonIdempotent must run at most once for an action.
func (u *Runs) Check(r *Recorder, nonIdempotent ...string) {
	for c, n := range u.perMethod {
		for _, m := range nonIdempotent {
			if c.method == m && n > 1 {
				u.Duplicates = append(u.Duplicates, fmt.Sprintf("action %s ran %s %d times", c.id, m, n))
			}
		}
	}
	for id, method := range r.NotRun() {
		if n := u.perAction[id]; n > 0 {
			u.FalseNotRun = append(u.FalseNotRun, fmt.Sprintf("action %s of %s was reported as not run, but ran %d times", id, method, n))
		}
	}
}
