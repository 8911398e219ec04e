package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/peer"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

const (
	// maxAttempts bounds the attempts of one forward, the first included.
	maxAttempts = 4
	// baselineAttempts is the number of attempts of the baselines without control.
	baselineAttempts = 3
	// baselineAllowance and baselineShare are too large to bound the baselines.
	baselineAllowance = 1 << 20
	baselineShare     = 1 << 10
	// retryPause is the mean pause before a retry, doubled each time.
	retryPause = 5 * time.Millisecond
)

// outbound is one call on its way to a service, with all its attempts.
type outbound struct {
	call     *sycapb.Call
	method   policy.Method
	key      action.Key
	deadline time.Time
	acc      *allow.Account
	// whole is the account of the action at this entry, and given what it gave to acc; nil for deeper calls.
	whole *allow.Account
	given uint32
	// home is the only instance that may run the call, empty for any.
	home string
	// fresh tells that no earlier attempt used the ticket.
	fresh bool
}

// forward sends a call until it is done, must not be repeated, or nothing is
// left to try.
func (d *Daemon) forward(ctx context.Context, o *outbound) *sycapb.Reply {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	budget := d.budgets.Of(o.call.Service)
	var avoid []string
	var r *sycapb.Reply
	ran := false
	for n := range d.attempts() {
		if n > 0 && !d.mayRetry(ctx, o, r, budget, n) {
			break
		}
		var target string
		r, target = d.attempt(ctx, o, avoid)
		if r.Outcome == sycapb.Outcome_OUTCOME_DONE {
			budget.Earn()
			return r
		}
		ran = ran || r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN
		if target != "" && o.home == "" {
			avoid = append(avoid, target)
		}
	}
	// The home of a ticket knows of all attempts; any other server only of its own.
	if ran && o.home == "" && r.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		r.Outcome = sycapb.Outcome_OUTCOME_FAILED
	}
	return r
}

func (d *Daemon) attempts() int {
	if d.full() {
		return maxAttempts
	}
	return baselineAttempts
}

// mayRetry decides on another attempt after the reply r, and pauses before it.
func (d *Daemon) mayRetry(ctx context.Context, o *outbound, r *sycapb.Reply, budget *allow.Budget, n int) bool {
	if ctx.Err() != nil || !repeatable(o, r) {
		return false
	}
	if !d.full() {
		return true
	}
	if r.Reason == sycapb.Reason_REASON_UNREACHABLE || r.Reason == sycapb.Reason_REASON_LEAVING {
		return true
	}
	if !budget.Spend() {
		d.stats.RetryDenied()
		return false
	}
	pause := rand.N(2 * retryPause << n)
	return time.Until(o.deadline) > 2*pause && sleep(ctx, pause)
}

// repeatable reports whether another attempt is allowed and can help.
func repeatable(o *outbound, r *sycapb.Reply) bool {
	switch r.Outcome {
	case sycapb.Outcome_OUTCOME_NOTRUN:
		if o.home != "" {
			return false
		}
		switch r.Reason {
		case sycapb.Reason_REASON_SHED, sycapb.Reason_REASON_UNREACHABLE, sycapb.Reason_REASON_LEAVING,
			sycapb.Reason_REASON_BACKEND, sycapb.Reason_REASON_ALLOWANCE:
			return r.Server != ""
		}
		return false
	case sycapb.Outcome_OUTCOME_FAILED:
		return o.method.Repeatable && (r.Reason == sycapb.Reason_REASON_BACKEND || r.Starved)
	case sycapb.Outcome_OUTCOME_UNKNOWN:
		// A ticket makes it safe to ask its home again.
		lost := r.Reason == sycapb.Reason_REASON_LOST
		return lost || o.method.Repeatable && r.Reason == sycapb.Reason_REASON_CRASHED
	}
	return false
}

// attempt sends the call to one server. It returns the ID of the server that
// was tried, empty when nothing was sent.
func (d *Daemon) attempt(ctx context.Context, o *outbound, avoid []string) (*sycapb.Reply, string) {
	try, err := d.pick(o, avoid)
	if err != nil {
		return d.noTarget(o, err), ""
	}
	share := d.take(o)
	c := d.envelope(o, share)
	if share == 0 {
		try.Fail(false)
		r := action.Refusal(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_ALLOWANCE, "no runs are left for the action")
		r.Starved = true
		return r, ""
	}
	d.stats.Attempt()
	r, err := d.send(ctx, try.Target, c)
	if err == nil {
		err = action.Verify(c, r)
	}
	if err != nil {
		r = d.noReply(ctx, o, c, err)
		try.Fail(r.Reason != sycapb.Reason_REASON_CANCELLED)
		o.acc.Return(share, r.Unspent)
		return r, try.Target.ID
	}
	try.Done(route.Report{Load: r.Load, Level: action.LevelFrom(r.Level), Leaving: r.Leaving})
	o.acc.Return(share, r.Unspent)
	d.shares.Observe(o.call.Service+"."+o.call.Method, share, share-min(share, r.Unspent), r.Starved)
	return r, try.Target.ID
}

func (d *Daemon) pick(o *outbound, avoid []string) (*route.Try, error) {
	if o.home != "" {
		return d.table.Direct(o.home, o.call.Method)
	}
	req := route.Request{
		Service:     o.call.Service,
		Method:      o.call.Method,
		Key:         o.key,
		Avoid:       avoid,
		IgnoreLevel: !d.full(),
		Invested:    o.call.Depth > 0,
	}
	print := poison.PrintOf(o.call.Service, o.call.Method, o.call.Digest)
	if d.full() && d.book.State(print) == poison.Suspect {
		req.Sticky = uint64(print)
	}
	return d.table.Pick(req)
}

func (d *Daemon) noTarget(o *outbound, err error) *sycapb.Reply {
	c := d.envelope(o, 0)
	var shed *route.ShedError
	if errors.As(err, &shed) {
		r := action.Refusal(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_SHED, err.Error())
		r.RetryAfterMs = uint32(shed.RetryAfter.Milliseconds())
		return r
	}
	outcome := sycapb.Outcome_OUTCOME_NOTRUN
	if o.home != "" && !o.fresh {
		outcome = sycapb.Outcome_OUTCOME_UNKNOWN
	}
	return action.Refusal(c, outcome, sycapb.Reason_REASON_UNREACHABLE, err.Error())
}

// take removes the share of one attempt from the account.
func (d *Daemon) take(o *outbound) uint32 {
	if !d.full() {
		return o.acc.Take(baselineShare)
	}
	return o.acc.Take(d.shares.Share(o.call.Service+"."+o.call.Method, o.acc.Left()))
}

// envelope returns the call as one attempt with a share of the allowance.
func (d *Daemon) envelope(o *outbound, share uint32) *sycapb.Call {
	t := o.call
	return &sycapb.Call{
		ActionId:  t.ActionId,
		AttemptId: rand.Uint64(),
		Service:   t.Service,
		Method:    t.Method,
		Body:      t.Body,
		Digest:    t.Digest,
		TimeoutUs: time.Until(o.deadline).Microseconds(),
		Allowance: share,
		Rank:      t.Rank,
		Depth:     t.Depth + 1,
		Ticket:    t.Ticket,
		Path:      t.Path,
	}
}

func (d *Daemon) send(ctx context.Context, to route.Target, c *sycapb.Call) (*sycapb.Reply, error) {
	if to.ID == d.cfg.ID {
		return d.serve(ctx, c), nil
	}
	return d.peers.Forward(ctx, to.Addr, c)
}

// noReply says how an attempt without a valid reply ended.
func (d *Daemon) noReply(ctx context.Context, o *outbound, c *sycapb.Call, err error) *sycapb.Reply {
	var dial *peer.DialError
	if errors.As(err, &dial) {
		outcome := sycapb.Outcome_OUTCOME_NOTRUN
		if o.home != "" && !o.fresh {
			outcome = sycapb.Outcome_OUTCOME_UNKNOWN
		}
		r := action.Refusal(c, outcome, sycapb.Reason_REASON_UNREACHABLE, err.Error())
		r.Server = dial.Addr.String()
		return r
	}
	why := sycapb.Reason_REASON_LOST
	if errors.Is(ctx.Err(), context.Canceled) {
		why = sycapb.Reason_REASON_CANCELLED
	} else if ctx.Err() != nil {
		why = sycapb.Reason_REASON_DEADLINE
	}
	r := action.Refusal(c, sycapb.Outcome_OUTCOME_UNKNOWN, why, err.Error())
	r.Unspent = 0
	return r
}

// homeOf returns the instance that a ticket names.
func homeOf(raw []byte) (string, error) {
	t, err := ticket.Parse(raw)
	if err != nil {
		return "", err
	}
	return t.Home, nil
}
