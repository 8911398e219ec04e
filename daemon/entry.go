package daemon

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/burn"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

const (
	// maxTicketAttempts bounds the instances that are asked for a ticket.
	maxTicketAttempts = 3
	// defaultTimeout is the timeout of a call that sets none.
	defaultTimeout = 5 * time.Second
)

// Submit handles a call from a caller. It implements the schema's Entry service.
func (d *Daemon) Submit(ctx context.Context, req *connect.Request[sycapb.Call]) (*connect.Response[sycapb.Reply], error) {
	defer d.trackCall()()
	start := time.Now()
	c := req.Msg
	r := d.submit(ctx, c)
	r.ActionId = c.ActionId
	r.AttemptId = c.AttemptId
	r.PolicyRevision = d.policyHolder.Revision()
	d.stats.Entry(r.Outcome, r.Reason, time.Since(start))
	return connect.NewResponse(r), nil
}

func (d *Daemon) submit(ctx context.Context, c *sycapb.Call) *sycapb.Reply {
	o, refusal := d.accept(c)
	if refusal != nil {
		return refusal
	}
	r := d.dispatch(ctx, o, c)
	r.Unspent = o.acc.Close()
	if o.actionAcc != nil {
		o.actionAcc.Return(o.granted, r.Unspent)
	}
	// Invalid and cancelled calls are the caller's doing and do not count against the objective.
	if r.Reason != sycapb.Reason_REASON_INVALID && r.Reason != sycapb.Reason_REASON_CANCELLED {
		m := burn.Method{Service: c.Service, Name: c.Method, Class: o.method.Class}
		d.burnRecorder.Record(m, o.method.Objective, r.Outcome == sycapb.Outcome_OUTCOME_DONE)
	}
	return r
}

// accept validates a caller's call and returns its outbound form, or a refusal.
func (d *Daemon) accept(c *sycapb.Call) (*outbound, *sycapb.Reply) {
	id, err := action.ParseID(c.ActionId)
	if err != nil {
		return nil, invalidReply(c, err)
	}
	refuse := func(reason sycapb.Reason, detail string) (*outbound, *sycapb.Reply) {
		return nil, action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, reason, detail)
	}
	p := d.policyHolder.Policy()
	switch {
	case d.leaving.Load():
		return refuse(sycapb.Reason_REASON_LEAVING, "the instance is leaving, use another entry")
	case p == nil:
		return refuse(sycapb.Reason_REASON_PLATFORM, "no policy is in force yet")
	}
	m, err := p.Method(c.Service, c.Method)
	if err != nil {
		return nil, invalidReply(c, toInvalidError(err))
	}
	if invalid := checkCall(c, m); invalid != nil {
		return nil, invalidReply(c, invalid)
	}
	timeout := time.Duration(c.TimeoutUs) * time.Microsecond
	if c.TimeoutUs == 0 {
		timeout = min(defaultTimeout, m.MaxTimeout)
	}
	if !d.controlEnabled() {
		return d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, baselineAllowance)), nil
	}
	if !m.Idempotent && len(c.Ticket) > 0 {
		// At most one send with a ticket runs, so each send may carry the full allowance.
		granted := m.Allowance
		if c.Allowance > 0 {
			granted = min(granted, c.Allowance)
		}
		return d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, granted)), nil
	}
	actionAcc := d.actions.Account(id, m.Allowance)
	granted := actionAcc.Take(m.Allowance)
	if c.Allowance > 0 && c.Allowance < granted {
		actionAcc.Return(granted-c.Allowance, granted-c.Allowance)
		granted = c.Allowance
	}
	o := d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, granted))
	o.actionAcc, o.granted = actionAcc, granted
	return o, nil
}

// newOutbound returns the outbound form of a call with the rank of its method.
func (d *Daemon) newOutbound(c *sycapb.Call, m policy.Method, id action.ID, deadline time.Time, acc *allow.Account) *outbound {
	return &outbound{
		call: &sycapb.Call{
			ActionId: c.ActionId,
			Service:  c.Service,
			Method:   c.Method,
			Body:     c.Body,
			Digest:   action.Digest(c.Body),
			Rank:     m.Rank,
			Ticket:   c.Ticket,
			Key:      c.Key,
		},
		method:   m,
		key:      action.KeyOf(m.Rank, id),
		deadline: deadline,
		acc:      acc,
	}
}

// toInvalidError turns the error for a name that is not in the policy into an
// InvalidError and returns other errors as they are.
func toInvalidError(err error) error {
	var unknown *policy.UnknownError
	if errors.As(err, &unknown) {
		return &action.InvalidError{Field: unknown.Field, Problem: fmt.Sprintf("%q is not in the policy", unknown.Name)}
	}
	return err
}

// checkCall validates the fields of a caller's call against its method.
func checkCall(c *sycapb.Call, m policy.Method) error {
	timeout := time.Duration(c.TimeoutUs) * time.Microsecond
	switch {
	case c.TimeoutUs < 0:
		return &action.InvalidError{Field: "timeout_us", Problem: "is negative: the deadline is already past"}
	case timeout > m.MaxTimeout:
		return &action.InvalidError{Field: "timeout_us", Problem: fmt.Sprintf("is above the method's %s", m.MaxTimeout)}
	case len(c.Body) > m.MaxBodyBytes:
		return &action.InvalidError{Field: "body", Problem: fmt.Sprintf("has %d bytes, the method takes %d", len(c.Body), m.MaxBodyBytes)}
	case c.Digest != 0 && c.Digest != action.Digest(c.Body):
		return &action.InvalidError{Field: "digest", Problem: "does not match the body"}
	case !m.Idempotent && len(c.Ticket) == 0 && c.Key == "":
		return &action.InvalidError{Field: "ticket", Problem: "is missing: an unrepeatable method needs a ticket or an idempotency key"}
	case len(c.Key) > maxKeyLen:
		return &action.InvalidError{Field: "key", Problem: fmt.Sprintf("has %d bytes, at most %d are allowed", len(c.Key), maxKeyLen)}
	}
	return nil
}

// dispatch forwards a call: an idempotent one to any instance, another one to
// the issuer of its ticket, or by its idempotency key if it has no ticket.
func (d *Daemon) dispatch(ctx context.Context, o *outbound, c *sycapb.Call) *sycapb.Reply {
	if o.method.Idempotent {
		o.call.Ticket = nil
		return d.forward(ctx, o)
	}
	if len(c.Ticket) == 0 {
		return d.forwardByKey(ctx, o, c.Key)
	}
	issuer, err := ticketIssuer(c.Ticket)
	if err != nil {
		return invalidReply(c, err)
	}
	o.issuer = issuer
	o.firstUse = c.First
	return d.forward(ctx, o)
}

// OpenTicket opens a ticket for one non-idempotent call. It implements the
// schema's Entry service.
func (d *Daemon) OpenTicket(ctx context.Context, req *connect.Request[sycapb.TicketRequest]) (*connect.Response[sycapb.TicketReply], error) {
	defer d.trackCall()()
	return connect.NewResponse(d.openTicket(ctx, req.Msg)), nil
}

func (d *Daemon) openTicket(ctx context.Context, req *sycapb.TicketRequest) *sycapb.TicketReply {
	p := d.policyHolder.Policy()
	if p == nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_PLATFORM, Detail: "no policy is in force yet"}
	}
	m, err := p.Method(req.Service, req.Method)
	if err != nil {
		var invalid *action.InvalidError
		errors.As(toInvalidError(err), &invalid)
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_INVALID, Field: invalid.Field, Detail: invalid.Error()}
	}
	if d.leaving.Load() {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_LEAVING, Detail: "the instance is leaving, use another entry"}
	}
	var exclude []string
	var last *sycapb.TicketReply
	for range maxTicketAttempts {
		var id string
		last, id = d.requestTicket(ctx, req, m, exclude)
		if last.Ticket != nil || id == "" {
			return last
		}
		exclude = append(exclude, id)
	}
	return last
}

// requestTicket picks an instance, asks it for a ticket and returns its ID,
// which is empty if there is no instance to ask.
func (d *Daemon) requestTicket(ctx context.Context, req *sycapb.TicketRequest, m policy.Method, exclude []string) (*sycapb.TicketReply, string) {
	attempt, err := d.table.Pick(route.Request{
		Service:     req.Service,
		Method:      req.Method,
		Key:         action.Key(m.Rank << 16),
		Exclude:     exclude,
		IgnoreLevel: true,
	})
	if err != nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_UNREACHABLE, Detail: err.Error()}, ""
	}
	r := d.requestTicketFrom(ctx, attempt.Target, req)
	attempt.Fail(r.Reason == sycapb.Reason_REASON_UNREACHABLE)
	return r, attempt.Target.ID
}

func (d *Daemon) requestTicketFrom(ctx context.Context, to route.Target, req *sycapb.TicketRequest) *sycapb.TicketReply {
	if to.ID == d.cfg.ID {
		return d.issueTicket(req)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := d.peers.HomeTicket(ctx, to.Addr, req)
	if err != nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_UNREACHABLE, Detail: err.Error()}
	}
	return r
}

// issueTicket issues a ticket that is valid on this daemon only.
func (d *Daemon) issueTicket(req *sycapb.TicketRequest) *sycapb.TicketReply {
	if d.leaving.Load() || d.serverDown.Load() || req.Service != d.cfg.Service {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_LEAVING, Detail: "the instance takes no new work"}
	}
	raw, err := d.tickets.Issue(req.Service, req.Method)
	if err != nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_SHED, Detail: err.Error()}
	}
	return &sycapb.TicketReply{Ticket: raw, ValidMs: d.cfg.TicketTTL.Milliseconds()}
}
