package load

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

// Runs is what the backend server stand-ins ran.
type Runs struct {
	// Most is the largest number of runs that one action caused.
	Most uint32
	// Total counts all runs.
	Total uint64
	// Twice lists the unrepeatable actions that ran more than once.
	Twice []string
	// Liars lists the actions that were called not run but ran.
	Liars []string

	perAction map[action.ID]uint32
	perMethod map[string]uint32
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{perAction: map[action.ID]uint32{}, perMethod: map[string]uint32{}}
}

// Collect adds the runs of one stand-in, which forgets them.
func (u *Runs) Collect(ctx context.Context, addr netip.AddrPort) error {
	rpc := sycapb.NewServerControlClient(http.DefaultClient, "http://"+addr.String())
	r, err := rpc.Runs(ctx, connect.NewRequest(&sycapb.RunsRequest{Clear: true}))
	if err != nil {
		return fmt.Errorf("runs of %s: %w", addr, err)
	}
	for _, c := range r.Msg.Counts {
		id, err := action.ParseID(c.ActionId)
		if err != nil {
			return fmt.Errorf("runs of %s: %w", addr, err)
		}
		u.perAction[id] += c.Runs
		u.perMethod[id.String()+c.Method] += c.Runs
		u.Most = max(u.Most, u.perAction[id])
	}
	u.Total += r.Msg.Total
	return nil
}

// Judge compares the runs with what the callers were told.
func (u *Runs) Judge(r *Recorder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, method := range r.once {
		if n := u.perMethod[id.String()+method]; n > 1 {
			u.Twice = append(u.Twice, fmt.Sprintf("action %s ran %s %d times", id, method, n))
		}
	}
	for id, method := range r.notRun {
		if n := u.perAction[id]; n > 0 {
			u.Liars = append(u.Liars, fmt.Sprintf("action %s of %s was called not run, %d runs", id, method, n))
		}
	}
}
