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
	// maxTicketAttempts is the number of homes asked for a ticket.
	maxTicketAttempts = 3
	// defaultTimeout is the deadline of a caller that gives none.
	defaultTimeout = 5 * time.Second
)

// Submit takes a call of a caller. It implements the schema's Entry service.
func (d *Daemon) Submit(ctx context.Context, req *connect.Request[sycapb.Call]) (*connect.Response[sycapb.Reply], error) {
	defer d.trackCall()()
	start := time.Now()
	c := req.Msg
	r := d.submit(ctx, c)
	r.ActionId = c.ActionId
	r.AttemptId = c.AttemptId
	r.PolicyRevision = d.holder.Revision()
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
	// The caller's own mistakes and departure do not burn the objective.
	if r.Reason != sycapb.Reason_REASON_INVALID && r.Reason != sycapb.Reason_REASON_CANCELLED {
		m := burn.Method{Service: c.Service, Name: c.Method, Class: o.method.Class}
		d.burnRecorder.Record(m, o.method.Objective, r.Outcome == sycapb.Outcome_OUTCOME_DONE)
	}
	return r
}

// accept checks a caller's call and prepares it for forwarding.
func (d *Daemon) accept(c *sycapb.Call) (*outbound, *sycapb.Reply) {
	id, err := action.ParseID(c.ActionId)
	if err != nil {
		return nil, invalidReply(c, err)
	}
	refuse := func(why sycapb.Reason, detail string) (*outbound, *sycapb.Reply) {
		return nil, action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, why, detail)
	}
	p := d.holder.Policy()
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
	if bad := checkCall(c, m); bad != nil {
		return nil, invalidReply(c, bad)
	}
	timeout := time.Duration(c.TimeoutUs) * time.Microsecond
	if c.TimeoutUs == 0 {
		timeout = min(defaultTimeout, m.MaxTimeout)
	}
	if !d.controlEnabled() {
		return d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, baselineAllowance)), nil
	}
	if !m.Idempotent && len(c.Ticket) > 0 {
		// At most one send of a ticket runs, so each may carry the allowance.
		given := m.Allowance
		if c.Allowance > 0 {
			given = min(given, c.Allowance)
		}
		return d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, given)), nil
	}
	whole := d.actions.Account(id, m.Allowance)
	given := whole.Take(m.Allowance)
	if c.Allowance > 0 && c.Allowance < given {
		whole.Return(given-c.Allowance, given-c.Allowance)
		given = c.Allowance
	}
	o := d.newOutbound(c, m, id, time.Now().Add(timeout), allow.NewAccount(id, given))
	o.actionAcc, o.granted = whole, given
	return o, nil
}

// newOutbound returns the outbound form of a call with its class set.
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

func toInvalidError(err error) error {
	var unknown *policy.UnknownError
	if errors.As(err, &unknown) {
		return &action.InvalidError{Field: unknown.Field, Problem: fmt.Sprintf("%q is not in the policy", unknown.Name)}
	}
	return err
}

// checkCall checks the fields of a caller's call against the method's rules.
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

// dispatch forwards an accepted call the way its method demands.
func (d *Daemon) dispatch(ctx context.Context, o *outbound, c *sycapb.Call) *sycapb.Reply {
	if o.method.Idempotent {
		o.call.Ticket = nil
		return d.forward(ctx, o)
	}
	if len(c.Ticket) == 0 {
		return d.forwardByKey(ctx, o, c.Key)
	}
	home, err := ticketHome(c.Ticket)
	if err != nil {
		return invalidReply(c, err)
	}
	o.home = home
	o.firstUse = c.First
	return d.forward(ctx, o)
}

// OpenTicket opens a ticket for one unrepeatable call. It implements the
// schema's Entry service.
func (d *Daemon) OpenTicket(ctx context.Context, req *connect.Request[sycapb.TicketRequest]) (*connect.Response[sycapb.TicketReply], error) {
	defer d.trackCall()()
	return connect.NewResponse(d.openTicket(ctx, req.Msg)), nil
}

func (d *Daemon) openTicket(ctx context.Context, req *sycapb.TicketRequest) *sycapb.TicketReply {
	p := d.holder.Policy()
	if p == nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_PLATFORM, Detail: "no policy is in force yet"}
	}
	m, err := p.Method(req.Service, req.Method)
	if err != nil {
		var bad *action.InvalidError
		errors.As(toInvalidError(err), &bad)
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_INVALID, Field: bad.Field, Detail: bad.Error()}
	}
	if d.leaving.Load() {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_LEAVING, Detail: "the instance is leaving, use another entry"}
	}
	var avoid []string
	var last *sycapb.TicketReply
	for range maxTicketAttempts {
		var id string
		last, id = d.requestTicket(ctx, req, m, avoid)
		if last.Ticket != nil || id == "" {
			return last
		}
		avoid = append(avoid, id)
	}
	return last
}

// requestTicket asks one possible home for a ticket and returns its ID.
func (d *Daemon) requestTicket(ctx context.Context, req *sycapb.TicketRequest, m policy.Method, avoid []string) (*sycapb.TicketReply, string) {
	try, err := d.table.Pick(route.Request{
		Service:     req.Service,
		Method:      req.Method,
		Key:         action.Key(m.Rank << 16),
		Exclude:     avoid,
		IgnoreLevel: true,
	})
	if err != nil {
		return &sycapb.TicketReply{Reason: sycapb.Reason_REASON_UNREACHABLE, Detail: err.Error()}, ""
	}
	r := d.requestTicketFrom(ctx, try.Target, req)
	try.Fail(r.Reason == sycapb.Reason_REASON_UNREACHABLE)
	return r, try.Target.ID
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

// issueTicket opens a ticket whose home is this daemon.
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
