package load

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"sycamorespread.dev/action"
)

// Runs is what the backend server stand-ins ran, from their ledgers.
type Runs struct {
	// Most is the largest number of runs that one action caused.
	Most uint32
	// Total counts all runs.
	Total uint64
	// Twice lists the unrepeatable calls that ran more than once for an action.
	Twice []string
	// Liars lists the actions that were called not run but ran.
	Liars []string

	perAction map[action.ID]uint32
	perMethod map[call]uint32
}

type call struct {
	id     action.ID
	method string
}

// LedgerError reports a line of a ledger that cannot be read.
type LedgerError struct {
	File string
	Line string
}

func (e *LedgerError) Error() string {
	return fmt.Sprintf("ledger %s: %q is not ACTION SERVICE.METHOD", e.File, e.Line)
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{perAction: map[action.ID]uint32{}, perMethod: map[call]uint32{}}
}

// Collect adds the runs of one ledger. A line reads "ACTION SERVICE.METHOD".
func (u *Runs) Collect(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		word, method, ok := strings.Cut(lines.Text(), " ")
		raw, hexErr := hex.DecodeString(word)
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
	u.perMethod[call{id: id, method: method}]++
	u.Most = max(u.Most, u.perAction[id])
}

// Judge compares the runs with what the callers were told. The methods named
// in once must run at most once for an action.
func (u *Runs) Judge(r *Recorder, once ...string) {
	for c, n := range u.perMethod {
		for _, m := range once {
			if c.method == m && n > 1 {
				u.Twice = append(u.Twice, fmt.Sprintf("action %s ran %s %d times", c.id, m, n))
			}
		}
	}
	for id, method := range r.NotRun() {
		if n := u.perAction[id]; n > 0 {
			u.Liars = append(u.Liars, fmt.Sprintf("action %s of %s was called not run, %d runs", id, method, n))
		}
	}
}
