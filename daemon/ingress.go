package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/invar"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/server"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

// inbound is one attempt of a call that arrived at the ingress.
type inbound struct {
	call        *sycapb.Call
	arrivedAt   time.Time
	id          action.ID
	key         action.Key
	digest      uint64
	deadline    time.Time
	fingerprint poison.Fingerprint
	run         *ticket.Run
}

// serve handles one attempt on the backend server beside this daemon.
func (d *Daemon) serve(ctx context.Context, c *sycapb.Call) *sycapb.Reply {
	defer d.trackCall()()
	start := time.Now()
	r := d.handleInbound(ctx, c, start)
	d.addServerState(r, c)
	d.stats.Ingress(r.Outcome, time.Since(start))
	return r
}

// addServerState adds the load, the admission level and the state of this
// server, which every reply carries.
func (d *Daemon) addServerState(r *sycapb.Reply, c *sycapb.Call) {
	s := d.gate.Stats()
	r.Load = &sycapb.Load{Inflight: uint32(s.Inflight), Queued: uint32(s.Queued), Limit: uint32(s.Limit)}
	level := min(d.gate.Level(), d.dependencies.level(c.Method, d.table))
	r.Level = level.Proto()
	r.Leaving = d.leaving.Load()
	r.Server = d.cfg.ID
	r.PolicyRevision = d.policyHolder.Revision()
}

func (d *Daemon) handleInbound(ctx context.Context, c *sycapb.Call, now time.Time) *sycapb.Reply {
	id, err := action.ParseID(c.ActionId)
	if err != nil {
		return invalidReply(c, err)
	}
	digest := action.Digest(c.Body)
	a := &inbound{
		call:        c,
		arrivedAt:   now,
		id:          id,
		key:         action.KeyOf(c.Rank, id),
		digest:      digest,
		deadline:    now.Add(time.Duration(c.TimeoutUs) * time.Microsecond),
		fingerprint: poison.FingerprintOf(c.Service, c.Method, digest),
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	if len(c.Ticket) > 0 {
		return d.runOnce(ctx, a)
	}
	if refusal := d.precheck(a); refusal != nil {
		return refusal
	}
	return d.admitAndRun(ctx, a)
}

// precheck returns a refusal for an attempt that cannot run, before any work
// is done on it, or nil.
func (d *Daemon) precheck(a *inbound) *sycapb.Reply {
	c := a.call
	refuse := func(reason sycapb.Reason, detail string) *sycapb.Reply {
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, reason, detail)
	}
	switch {
	case c.Service != d.cfg.Service:
		return refuse(sycapb.Reason_REASON_UNREACHABLE, fmt.Sprintf("instance %s serves %q", d.cfg.ID, d.cfg.Service))
	case d.leaving.Load():
		return refuse(sycapb.Reason_REASON_LEAVING, "the instance is leaving")
	case d.serverDown.Load():
		return refuse(sycapb.Reason_REASON_UNREACHABLE, "the backend server is down")
	case c.TimeoutUs <= 0:
		return refuse(sycapb.Reason_REASON_DEADLINE, "the deadline is past")
	case a.digest != c.Digest:
		return invalidReply(c, &action.InvalidError{Field: "digest", Problem: "does not match the body"})
	case c.Allowance == 0:
		return allowanceRefusal(c)
	case d.controlEnabled() && d.quarantine.State(a.fingerprint) == poison.Quarantined:
		return refuse(sycapb.Reason_REASON_QUARANTINED, "the request crashed backend servers and is quarantined")
	}
	return nil
}

// allowanceRefusal refuses an attempt whose allowance is exhausted.
func allowanceRefusal(c *sycapb.Call) *sycapb.Reply {
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_ALLOWANCE, "no runs are left for the action")
	r.Starved = true
	return r
}

// controlEnabled reports whether overload control is on. It is off in the
// baseline modes.
func (d *Daemon) controlEnabled() bool {
	return d.cfg.Mode == admit.Full
}

// runOnce runs a non-idempotent call at most once and replies to resends. Every
// refusal voids the ticket, since the reply of its issuer assures the caller
// that the call never ran.
func (d *Daemon) runOnce(ctx context.Context, a *inbound) *sycapb.Reply {
	run, err := d.tickets.Begin(a.call.Ticket, a.call.Service, a.call.Method, a.digest)
	if err != nil {
		return ticketRefusal(a.call, err)
	}
	if !run.First() {
		return d.awaitFirstRun(ctx, a, run)
	}
	if r := d.precheck(a); r != nil {
		run.Void(r)
		return r
	}
	if err := ctx.Err(); err != nil {
		// The caller gave up before the run, for example while this process was paused.
		r := d.admitRefusal(a.call, err)
		run.Void(r)
		return r
	}
	a.run = run
	// The reply is kept for resends, so the run continues after the caller has gone.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.deadline)
	defer cancel()
	r := d.admitAndRun(ctx, a)
	if r.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		run.Void(r)
		return r
	}
	run.Finish(r)
	return r
}

// awaitFirstRun waits for the run of an earlier attempt with the same ticket
// and returns its reply.
func (d *Daemon) awaitFirstRun(ctx context.Context, a *inbound, run *ticket.Run) *sycapb.Reply {
	first, err := run.Wait(ctx)
	if err != nil {
		return action.EmptyReply(a.call, sycapb.Outcome_OUTCOME_UNKNOWN, sycapb.Reason_REASON_TICKET, "an earlier attempt is still running")
	}
	return &sycapb.Reply{
		ActionId:  a.call.ActionId,
		AttemptId: a.call.AttemptId,
		Outcome:   first.Outcome,
		Reason:    first.Reason,
		Detail:    first.Detail,
		Body:      first.Body,
		Digest:    first.Digest,
		Length:    first.Length,
		Unspent:   a.call.Allowance,
	}
}

func ticketRefusal(c *sycapb.Call, err error) *sycapb.Reply {
	var rejected *ticket.RejectedError
	if errors.As(err, &rejected) {
		outcome := sycapb.Outcome_OUTCOME_NOTRUN
		if rejected.MaybeSpent {
			outcome = sycapb.Outcome_OUTCOME_UNKNOWN
		}
		return action.EmptyReply(c, outcome, sycapb.Reason_REASON_TICKET, err.Error())
	}
	return invalidReply(c, err)
}

// admitAndRun runs the attempt once admission control permits it.
func (d *Daemon) admitAndRun(ctx context.Context, a *inbound) *sycapb.Reply {
	release, refusal := d.isolateSuspect(ctx, a)
	if refusal != nil {
		return refusal
	}
	defer release()
	permit, err := d.gate.Acquire(ctx, admit.Call{ID: a.id, Key: a.key, Method: a.call.Method, Deadline: a.deadline})
	if err != nil {
		return d.admitRefusal(a.call, err)
	}
	d.stats.QueueWait(permit.QueueTime())
	if a.run != nil {
		a.run.MarkSpent()
	}
	r, result := d.execute(ctx, a)
	permit.Release(result)
	return r
}

// isolateSuspect lets crash suspects run only one at a time, so that a further
// crash does not implicate other suspects. It waits until no other one runs.
func (d *Daemon) isolateSuspect(ctx context.Context, a *inbound) (release func(), refusal *sycapb.Reply) {
	if !d.controlEnabled() || !d.isSuspect(a.fingerprint) {
		return func() {}, nil
	}
	select {
	case d.suspectSem <- struct{}{}:
	case <-ctx.Done():
		return nil, action.EmptyReply(a.call, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_QUARANTINED, "suspects of a crash run one at a time")
	}
	if d.quarantine.State(a.fingerprint) == poison.Quarantined {
		<-d.suspectSem
		return nil, action.EmptyReply(a.call, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_QUARANTINED, "the request crashed backend servers and is quarantined")
	}
	return func() { <-d.suspectSem }, nil
}

func (d *Daemon) admitRefusal(c *sycapb.Call, err error) *sycapb.Reply {
	var late *admit.DeadlineError
	var shed *admit.ShedError
	reason := sycapb.Reason_REASON_CANCELLED
	switch {
	case errors.As(err, &shed):
		reason = sycapb.Reason_REASON_SHED
	case errors.As(err, &late), errors.Is(err, context.DeadlineExceeded):
		reason = sycapb.Reason_REASON_DEADLINE
	}
	return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, reason, err.Error())
}

// execute runs the attempt on the backend server and returns the reply and the
// result for admission control.
func (d *Daemon) execute(ctx context.Context, a *inbound) (*sycapb.Reply, admit.RunResult) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := d.leavingFor(a.arrivedAt)
	invar.Check(delay < newWorkGrace, "leaving", a.id, "arrived %s after the daemon began to leave", delay)
	acc := allow.NewAccount(a.id, a.call.Allowance-1)
	run := d.runs.add(ctx, a, acc)
	resp, err := d.backend.Run(ctx, &sycapb.RunRequest{
		RunId:     run.id,
		ActionId:  a.call.ActionId,
		Method:    a.call.Method,
		Body:      a.call.Body,
		TimeoutUs: time.Until(a.deadline).Microseconds(),
	})
	crash := ""
	if err != nil && ctx.Err() == nil {
		crash = d.handleRunError(run, err)
	}
	d.runs.remove(run)
	r, result := d.runOutcome(ctx, run, resp, err)
	r.Crash = crash
	r.Unspent = acc.Close()
	r.Starved = run.starved.Load()
	if r.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		invar.Check(!run.calledDownstream.Load(), "notrun", a.id, "reported as not run after a downstream call ran")
		r.Unspent = a.call.Allowance
	}
	return r, result
}

// runOutcome maps the backend server's response, or the error in its place, to
// a reply and a result for admission control.
func (d *Daemon) runOutcome(ctx context.Context, run *run, resp *sycapb.RunReply, err error) (*sycapb.Reply, admit.RunResult) {
	c := run.in.call
	var dial *server.DialError
	switch {
	case errors.As(err, &dial) && !run.calledDownstream.Load():
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_UNREACHABLE, err.Error()), admit.NoResponse
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_UNKNOWN, sycapb.Reason_REASON_CANCELLED, err.Error()), admit.NoResponse
	case err != nil && ctx.Err() != nil:
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_UNKNOWN, sycapb.Reason_REASON_DEADLINE, err.Error()), admit.NoResponse
	case err != nil:
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_UNKNOWN, sycapb.Reason_REASON_CRASHED, err.Error()), admit.NoResponse
	case resp.Refused && !run.calledDownstream.Load():
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_BACKEND, "the backend server refused the call"), admit.Rejected
	case resp.RunId != run.id || action.Digest(resp.Body) != resp.Digest:
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_FAILED, sycapb.Reason_REASON_BACKEND, "the answer is not whole"), admit.Completed
	case resp.DeeperFailed:
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_FAILED, sycapb.Reason_REASON_DEEPER, resp.Error), admit.Completed
	case resp.Error != "" || resp.Refused:
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_FAILED, sycapb.Reason_REASON_BACKEND, resp.Error), admit.Completed
	}
	d.clearSuspect(run.in.fingerprint)
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_DONE, sycapb.Reason_REASON_UNSPECIFIED, "")
	r.Body = resp.Body
	r.Digest = resp.Digest
	r.Length = uint32(len(resp.Body))
	return r, admit.Completed
}

// clearSuspect removes a request that ran without a crash from the suspects.
func (d *Daemon) clearSuspect(p poison.Fingerprint) {
	if d.isSuspect(p) {
		d.quarantine.Lift(p)
	}
}

func (d *Daemon) isSuspect(p poison.Fingerprint) bool {
	state := d.quarantine.State(p)
	return state == poison.Suspect || state == poison.Isolated
}

func invalidReply(c *sycapb.Call, err error) *sycapb.Reply {
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_INVALID, err.Error())
	var invalid *action.InvalidError
	if errors.As(err, &invalid) {
		r.Field = invalid.Field
	}
	return r
}
