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
	// retryDelay is the mean pause before a retry, doubled each time.
	retryDelay = 5 * time.Millisecond
)

// outbound is one call on its way to a service, with all its attempts.
type outbound struct {
	call     *sycapb.Call
	method   policy.Method
	key      action.Key
	deadline time.Time
	acc      *allow.Account
	// actionAcc is the account of the action at this entry, and given what it gave to acc; nil for deeper calls.
	actionAcc *allow.Account
	granted   uint32
	// home is the only instance that may run the call, empty for any.
	home string
	// firstUse tells that no earlier attempt used the ticket.
	firstUse bool
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	reply *sycapb.Reply
	// target is the instance that was tried, empty when nothing was sent.
	target string
	// fromTarget tells that the reply came from the target itself.
	fromTarget bool
}

// forward sends a call until it is done, must not be repeated, or nothing is
// left to try.
func (d *Daemon) forward(ctx context.Context, o *outbound) *sycapb.Reply {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	budget := d.budgets.Get(o.call.Service)
	var avoid []string
	var res attemptResult
	ran := false
	for n := range d.attemptLimit() {
		if n > 0 && !d.mayRetry(ctx, o, res, budget, n) {
			break
		}
		res = d.attempt(ctx, o, avoid)
		if res.reply.Outcome == sycapb.Outcome_OUTCOME_DONE {
			budget.RecordAttempt()
			return res.reply
		}
		if res.reply.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
			ran = true
			o.firstUse = false
		}
		if res.target != "" && o.home == "" {
			avoid = append(avoid, res.target)
		}
	}
	return o.finalReply(res, ran)
}

// finalReply keeps a refusal of the last attempt from hiding that an earlier one
// may have run. Only the home of a ticket knows of all attempts.
func (o *outbound) finalReply(res attemptResult, ran bool) *sycapb.Reply {
	r := res.reply
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || !ran {
		return r
	}
	switch {
	case o.home == "":
		r.Outcome = sycapb.Outcome_OUTCOME_FAILED
	case !res.fromTarget:
		r.Outcome = sycapb.Outcome_OUTCOME_UNKNOWN
	}
	return r
}

func (d *Daemon) attemptLimit() int {
	if d.controlEnabled() {
		return maxAttempts
	}
	return baselineAttempts
}

// mayRetry decides on another attempt after the reply r, and pauses before it.
func (d *Daemon) mayRetry(ctx context.Context, o *outbound, res attemptResult, budget *allow.Budget, n int) bool {
	r := res.reply
	if ctx.Err() != nil || !retryable(o, res) {
		return false
	}
	if !d.controlEnabled() {
		return true
	}
	if r.Reason == sycapb.Reason_REASON_UNREACHABLE || r.Reason == sycapb.Reason_REASON_LEAVING {
		return true
	}
	if !budget.AllowRetry(o.key) {
		d.stats.RetryDenied()
		return false
	}
	pause := rand.N(2 * retryDelay << n)
	return time.Until(o.deadline) > 2*pause && sleep(ctx, pause)
}

// retryable reports whether another attempt is allowed and can help.
func retryable(o *outbound, res attemptResult) bool {
	r := res.reply
	switch r.Outcome {
	case sycapb.Outcome_OUTCOME_NOTRUN:
		if o.home != "" {
			return false
		}
		switch r.Reason {
		case sycapb.Reason_REASON_SHED, sycapb.Reason_REASON_UNREACHABLE, sycapb.Reason_REASON_LEAVING,
			sycapb.Reason_REASON_BACKEND, sycapb.Reason_REASON_ALLOWANCE:
			return res.target != ""
		}
		return false
	case sycapb.Outcome_OUTCOME_FAILED:
		return o.method.Idempotent && (r.Reason == sycapb.Reason_REASON_BACKEND || r.Starved)
	case sycapb.Outcome_OUTCOME_UNKNOWN:
		// A ticket makes it safe to ask its home again.
		lost := r.Reason == sycapb.Reason_REASON_LOST
		return lost || o.method.Idempotent && r.Reason == sycapb.Reason_REASON_CRASHED
	}
	return false
}

// attempt sends the call to one server.
func (d *Daemon) attempt(ctx context.Context, o *outbound, avoid []string) attemptResult {
	if d.quarantined(o) {
		return attemptResult{reply: o.refuse(sycapb.Reason_REASON_QUARANTINED, "the request crashed backend servers and is quarantined")}
	}
	try, err := d.pick(o, avoid)
	if err != nil {
		return attemptResult{reply: o.noTargetReply(err)}
	}
	share := d.takeAllowance(o)
	// A resend with a ticket needs no runs of its own: it may join the one run.
	if share == 0 && o.home == "" {
		try.Fail(false)
		r := o.refuse(sycapb.Reason_REASON_ALLOWANCE, "no runs are left for the action")
		r.Starved = true
		return attemptResult{reply: r}
	}
	d.stats.Attempt()
	c := o.newAttempt(share)
	r, err := d.send(ctx, try.Target, c)
	if err == nil {
		err = action.Verify(c, r)
	}
	if err != nil {
		r = o.lostReply(ctx, c, err)
		try.Fail(r.Reason != sycapb.Reason_REASON_CANCELLED)
		o.acc.Return(share, r.Unspent)
		return attemptResult{reply: r, target: try.Target.ID}
	}
	d.markSuspect(o, r)
	try.Done(route.Report{Load: r.Load, Level: action.LevelFromProto(r.Level), Leaving: r.Leaving})
	o.acc.Return(share, r.Unspent)
	d.shares.Observe(o.methodName(), share, share-min(share, r.Unspent), r.Starved)
	return attemptResult{reply: r, target: try.Target.ID, fromTarget: true}
}

// methodName returns the full name of the method.
func (o *outbound) methodName() string {
	return o.call.Service + "." + o.call.Method
}

// fingerprint returns the fingerprint of the request.
func (o *outbound) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(o.call.Service, o.call.Method, o.call.Digest)
}

// refuse returns a reply to a call of which this attempt was not sent.
func (o *outbound) refuse(why sycapb.Reason, detail string) *sycapb.Reply {
	return action.EmptyReply(o.newAttempt(0), o.unsentOutcome(), why, detail)
}

// unsentOutcome returns how an attempt that was not sent ends: with a ticket that
// was used before, an earlier attempt may have run.
func (o *outbound) unsentOutcome() sycapb.Outcome {
	if o.home != "" && !o.firstUse {
		return sycapb.Outcome_OUTCOME_UNKNOWN
	}
	return sycapb.Outcome_OUTCOME_NOTRUN
}

func (d *Daemon) quarantined(o *outbound) bool {
	return d.controlEnabled() && d.quarantine.State(o.fingerprint()) == poison.Quarantined
}

// markSuspect makes a request a suspect here before it is tried again, since the
// news of the crash may come later than the retry.
func (d *Daemon) markSuspect(o *outbound, r *sycapb.Reply) {
	if r.Crash == "" || !d.controlEnabled() {
		return
	}
	d.quarantine.RecordCrash(r.Crash, []poison.Request{{Service: o.call.Service, Method: o.call.Method, Fingerprint: o.fingerprint()}})
}

func (d *Daemon) pick(o *outbound, avoid []string) (*route.Attempt, error) {
	if o.home != "" {
		return d.table.PickByID(o.home, o.call.Method)
	}
	req := route.Request{
		Service:     o.call.Service,
		Method:      o.call.Method,
		Key:         o.key,
		Exclude:     avoid,
		IgnoreLevel: !d.controlEnabled(),
		Nested:      o.call.Depth > 0,
	}
	if d.controlEnabled() && d.quarantine.State(o.fingerprint()) == poison.Suspect {
		req.Sticky = uint64(o.fingerprint())
	}
	return d.table.Pick(req)
}

func (o *outbound) noTargetReply(err error) *sycapb.Reply {
	var shed *route.ShedError
	if errors.As(err, &shed) {
		r := o.refuse(sycapb.Reason_REASON_SHED, err.Error())
		r.RetryAfterMs = uint32(shed.RetryAfter.Milliseconds())
		return r
	}
	return o.refuse(sycapb.Reason_REASON_UNREACHABLE, err.Error())
}

// takeAllowance removes the share of one attempt from the account.
func (d *Daemon) takeAllowance(o *outbound) uint32 {
	if !d.controlEnabled() {
		return o.acc.Take(baselineShare)
	}
	return o.acc.Take(d.shares.Share(o.methodName(), o.acc.Remaining()))
}

// newAttempt returns the call as one attempt with a share of the allowance.
func (o *outbound) newAttempt(share uint32) *sycapb.Call {
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

// lostReply says how an attempt without a valid reply ended.
func (o *outbound) lostReply(ctx context.Context, c *sycapb.Call, err error) *sycapb.Reply {
	var dial *peer.DialError
	if errors.As(err, &dial) {
		return action.EmptyReply(c, o.unsentOutcome(), sycapb.Reason_REASON_UNREACHABLE, err.Error())
	}
	why := sycapb.Reason_REASON_LOST
	if errors.Is(ctx.Err(), context.Canceled) {
		why = sycapb.Reason_REASON_CANCELLED
	} else if ctx.Err() != nil {
		why = sycapb.Reason_REASON_DEADLINE
	}
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_UNKNOWN, why, err.Error())
	r.Unspent = 0
	return r
}

// ticketHome returns the instance that a ticket names.
func ticketHome(raw []byte) (string, error) {
	t, err := ticket.Parse(raw)
	if err != nil {
		return "", err
	}
	return t.Home, nil
}
