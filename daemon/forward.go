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
	// maxAttempts bounds the attempts of one call, the first included.
	maxAttempts = 4
	// baselineAttempts bounds the attempts of one call in the baseline modes.
	baselineAttempts = 3
	// baselineAllowance and baselineShare are large enough not to limit the baseline modes.
	baselineAllowance = 1 << 20
	baselineShare     = 1 << 10
	// retryDelay is the base of the mean delay before a retry, which doubles with each retry.
	retryDelay = 5 * time.Millisecond
)

// outbound is a call to a service, with the state of all its attempts.
type outbound struct {
	call     *sycapb.Call
	method   policy.Method
	key      action.Key
	deadline time.Time
	acc      *allow.Account
	// actionAcc is the account of the action at this entry, and granted is the allowance that it gave to acc. It is nil
	// for downstream calls, for calls with a ticket and in the baseline modes.
	actionAcc *allow.Account
	granted   uint32
	// issuer is the instance that issued the ticket and alone may run the call. It is empty for calls without a ticket.
	issuer string
	// firstUse is true if no earlier attempt used the ticket.
	firstUse bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	reply *sycapb.Reply
	// target is the instance that the attempt was sent to, empty if it was not sent.
	target string
	// fromTarget is true if the target sent the reply, false if this daemon filled it in.
	fromTarget bool
}

// forward sends a call, with retries, until it is done, a retry is not allowed
// or the attempts are used up.
func (d *Daemon) forward(ctx context.Context, o *outbound) *sycapb.Reply {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	budget := d.budgets.Get(o.call.Service)
	var exclude []string
	var res attemptResult
	mayHaveRun := false
	for n := range d.attemptLimit() {
		if n > 0 && !d.mayRetry(ctx, o, res, budget, n) {
			break
		}
		res = d.attempt(ctx, o, exclude)
		if res.reply.Outcome == sycapb.Outcome_OUTCOME_DONE {
			budget.RecordAttempt()
			return res.reply
		}
		if res.reply.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
			mayHaveRun = true
			o.firstUse = false
		}
		if res.target != "" && o.issuer == "" {
			exclude = append(exclude, res.target)
		}
	}
	return o.finalReply(res, mayHaveRun)
}

// finalReply returns the reply of the last attempt, with its outcome changed if
// an earlier attempt may have run but the last one did not. Only the issuer of
// a ticket knows of all attempts.
func (o *outbound) finalReply(res attemptResult, mayHaveRun bool) *sycapb.Reply {
	r := res.reply
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || !mayHaveRun {
		return r
	}
	switch {
	case o.issuer == "":
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

// mayRetry reports whether to make another attempt after res, the n-th retry,
// and waits for the retry delay.
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
	delay := rand.N(2 * retryDelay << n)
	return time.Until(o.deadline) > 2*delay && sleep(ctx, delay)
}

// retryable reports whether another attempt is allowed and can help.
func retryable(o *outbound, res attemptResult) bool {
	r := res.reply
	switch r.Outcome {
	case sycapb.Outcome_OUTCOME_NOTRUN:
		if o.issuer != "" {
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
		// A lost reply of a call with a ticket is safe to retry at the issuer.
		lost := r.Reason == sycapb.Reason_REASON_LOST
		return lost || o.method.Idempotent && r.Reason == sycapb.Reason_REASON_CRASHED
	}
	return false
}

// attempt sends the call to one instance, none of exclude.
func (d *Daemon) attempt(ctx context.Context, o *outbound, exclude []string) attemptResult {
	if d.quarantined(o) {
		return attemptResult{reply: o.refuse(sycapb.Reason_REASON_QUARANTINED, "the request crashed backend servers and is quarantined")}
	}
	attempt, err := d.pick(o, exclude)
	if err != nil {
		return attemptResult{reply: o.noTargetReply(err)}
	}
	share := d.takeAllowance(o)
	// A resend with a ticket needs no allowance, since it may only wait for the run of an earlier send.
	if share == 0 && o.issuer == "" {
		attempt.Fail(false)
		r := o.refuse(sycapb.Reason_REASON_ALLOWANCE, "no runs are left for the action")
		r.Starved = true
		return attemptResult{reply: r}
	}
	d.stats.Attempt()
	c := o.newAttempt(share)
	r, err := d.send(ctx, attempt.Target, c)
	if err == nil {
		err = action.Verify(c, r)
	}
	if err != nil {
		r = o.lostReply(ctx, c, err)
		attempt.Fail(r.Reason != sycapb.Reason_REASON_CANCELLED)
		o.acc.Return(share, r.Unspent)
		return attemptResult{reply: r, target: attempt.Target.ID}
	}
	d.markSuspect(o, r)
	attempt.Done(route.Report{Load: r.Load, Level: action.LevelFromProto(r.Level), Leaving: r.Leaving})
	o.acc.Return(share, r.Unspent)
	d.costs.Observe(o.methodName(), share, share-min(share, r.Unspent), r.Starved)
	return attemptResult{reply: r, target: attempt.Target.ID, fromTarget: true}
}

// methodName returns the name of the method with its service.
func (o *outbound) methodName() string {
	return o.call.Service + "." + o.call.Method
}

func (o *outbound) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(o.call.Service, o.call.Method, o.call.Digest)
}

// refuse returns the reply for an attempt that was not sent.
func (o *outbound) refuse(reason sycapb.Reason, detail string) *sycapb.Reply {
	return action.EmptyReply(o.newAttempt(0), o.unsentOutcome(), reason, detail)
}

// unsentOutcome returns the outcome of an attempt that was not sent. It is
// unknown for a ticket that was used before, since an earlier attempt may have
// run.
func (o *outbound) unsentOutcome() sycapb.Outcome {
	if o.issuer != "" && !o.firstUse {
		return sycapb.Outcome_OUTCOME_UNKNOWN
	}
	return sycapb.Outcome_OUTCOME_NOTRUN
}

func (d *Daemon) quarantined(o *outbound) bool {
	return d.controlEnabled() && d.quarantine.State(o.fingerprint()) == poison.Quarantined
}

// markSuspect records the request as a crash suspect on this daemon if the
// reply reports a crash. The gossiped entry may arrive only after the retry.
func (d *Daemon) markSuspect(o *outbound, r *sycapb.Reply) {
	if r.Crash == "" || !d.controlEnabled() {
		return
	}
	d.quarantine.AddCrash(r.Crash, poison.Request{Service: o.call.Service, Method: o.call.Method, Fingerprint: o.fingerprint()})
}

func (d *Daemon) pick(o *outbound, exclude []string) (*route.Attempt, error) {
	if o.issuer != "" {
		return d.table.PickByID(o.issuer, o.call.Method)
	}
	req := route.Request{
		Service:     o.call.Service,
		Method:      o.call.Method,
		Key:         o.key,
		Exclude:     exclude,
		IgnoreLevel: !d.controlEnabled(),
		Nested:      o.call.Depth > 0,
	}
	if d.controlEnabled() && d.isSuspect(o.fingerprint()) {
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

// takeAllowance takes the allowance of one attempt from the account.
func (d *Daemon) takeAllowance(o *outbound) uint32 {
	if !d.controlEnabled() {
		return o.acc.Take(baselineShare)
	}
	return o.acc.Take(d.costs.Share(o.methodName(), o.acc.Remaining()))
}

// newAttempt returns the call message of one attempt with a share of the
// allowance.
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

// lostReply returns the reply for an attempt that got no valid one.
func (o *outbound) lostReply(ctx context.Context, c *sycapb.Call, err error) *sycapb.Reply {
	var dial *peer.DialError
	if errors.As(err, &dial) {
		return action.EmptyReply(c, o.unsentOutcome(), sycapb.Reason_REASON_UNREACHABLE, err.Error())
	}
	reason := sycapb.Reason_REASON_LOST
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = sycapb.Reason_REASON_CANCELLED
	} else if ctx.Err() != nil {
		reason = sycapb.Reason_REASON_DEADLINE
	}
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_UNKNOWN, reason, err.Error())
	r.Unspent = 0
	return r
}

// ticketIssuer returns the ID of the instance that issued a ticket.
func ticketIssuer(raw []byte) (string, error) {
	t, err := ticket.Parse(raw)
	if err != nil {
		return "", err
	}
	return t.Home, nil
}
