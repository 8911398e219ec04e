package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/allow"
	"sycamorespread.dev/route"
)

const (
	// moveFactor is how many times longer than the mean of its route a send may take before it is moved elsewhere.
	// The longest runs of our users' requests take five times the mean.
	moveFactor = 6
	// moveLeast is the shortest time after which a send is moved.
	moveLeast = 100 * time.Millisecond
	// moveShare is the part of the time until the deadline after which a move would come too late.
	moveShare = 0.6
)

// errSlow cancels a send that is moved to another instance.
var errSlow = errors.New("the instance is slow")

// sendOrMove sends a request that may be repeated, and gives the send up when
// it takes several times longer than others of its route, as at a server that
// turned slow or lost the answer. The retry is paid for before that.
func (f *Front) sendOrMove(ctx context.Context, r *request, to route.Target, budget *allow.Budget, sends int) *answer {
	began := f.Now()
	mean := f.sends.of(r.route.Name)
	after := max(moveLeast, moveFactor*mean)
	last := sends+1 >= r.route.Attempts
	if mean == 0 || last || !r.route.Repeatable || r.stream != nil || after > time.Duration(moveShare*float64(r.deadline.Sub(began))) {
		return f.sendTimed(ctx, r, to, began)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(after, func() {
		if f.Table.Alternative(r.service, to.ID) && budget.Spend(r.key) {
			cancel(errSlow)
		}
	})
	ans := f.sendTimed(ctx, r, to, began)
	t.Stop()
	if errors.Is(context.Cause(ctx), errSlow) && ans.outcome != answered {
		ans.done()
		return &answer{outcome: ans.outcome, why: whySlow}
	}
	done := ans.close
	ans.close = func() {
		if done != nil {
			done()
		}
		cancel(nil)
	}
	return ans
}

// sendTimed sends a request and notes the time of its answer.
func (f *Front) sendTimed(ctx context.Context, r *request, to route.Target, began time.Time) *answer {
	ans := f.send(ctx, r, to)
	if ans.outcome == answered {
		f.sends.add(r.route.Name, f.Now().Sub(began))
	}
	return ans
}
