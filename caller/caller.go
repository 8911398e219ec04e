// Package caller is the client library for callers.
//
// A Client sends each action to one entry, which may be any daemon of its region,
// and switches to another entry if that one is unreachable or leaving. It keeps
// one allowance over all resends of an action, opens a ticket before a
// non-idempotent call and resends the call with the same ticket, and verifies
// that each reply is complete and belongs to its call.
//
//	c := caller.New(caller.Config{Entries: entries, MaxResends: 3, Allowance: 24})
//	res := c.Do(ctx, caller.Request{Service: "statements", Method: "view", Timeout: time.Second})
//	if res.Outcome == sycapb.Outcome_OUTCOME_DONE {
//		use(res.Body)
//	}
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sycamorespread.dev/action"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/sycapb"
)

const (
	// maxHeaderBytes bounds the header of a response and maxResponseBytes its body, with the same
	// values as between a daemon and its backend server.
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 4 << 20
)

const (
	// dialTimeout bounds the time to connect to an entry.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerEntry is the maximum number of idle connections to one entry.
	maxIdleConnsPerEntry = 256
	// defaultTimeout is the timeout of a request that sets none.
	defaultTimeout = 5 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// Entries are the daemons to send to. Actions begin at each of them in turn.
	Entries []netip.AddrPort
	// MaxResends is the maximum number of resends of an action that is not done.
	MaxResends int
	// ResendDelay is the mean delay before a resend. The entry's retry-after takes precedence if it
	// is longer.
	ResendDelay time.Duration
	// IgnoreRetryAfter disables the entry's retry-after.
	IgnoreRetryAfter bool
	// Allowance is the number of backend server runs that an action may cause over all resends.
	Allowance uint32
}

// Request is one action.
type Request struct {
	// ID identifies the action; the zero ID selects a new random one.
	ID              action.ID
	Service, Method string
	Body            []byte
	// NonIdempotent marks a call that must run at most once.
	NonIdempotent bool
	// IdempotencyKey replaces the ticket of a non-idempotent call.
	IdempotencyKey string
	// Timeout bounds the action with all its resends; 0 selects the default.
	Timeout time.Duration
}

// Result is the result of an action.
type Result struct {
	ID      action.ID
	Outcome sycapb.Outcome
	Reason  sycapb.Reason
	// Field is the request field that was rejected as invalid.
	Field  string
	Detail string
	// Body is the complete response if the outcome is done.
	Body []byte
	// Sends is the number of calls that were sent to entries.
	Sends int
	// Mismatches is the number of replies that were discarded because they did not match their
	// call.
	Mismatches int
	// Server is the instance that replied.
	Server string
}

// Client sends actions. It is safe for concurrent use.
type Client struct {
	cfg       Config
	clients   []sycapb.EntryClient
	nextEntry atomic.Int64
}

// New returns a client for the entries of cfg.
func New(cfg Config) *Client {
	httpClient := &http.Client{Transport: &httpc.LimitTransport{MaxBodyBytes: maxResponseBytes, Next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	c := &Client{cfg: cfg}
	for _, e := range cfg.Entries {
		c.clients = append(c.clients, sycapb.NewEntryClient(httpClient, "http://"+e.String(), connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return c
}

// actionState is the state of one action over its resends.
type actionState struct {
	req       Request
	res       Result
	entry     int
	remaining uint32
	ticket    []byte
	// ticketSent reports whether the ticket was sent to an entry.
	ticketSent bool
	// mayHaveRun reports whether an earlier send may have run.
	mayHaveRun bool
	retryAfter time.Duration
}

// Do sends an action until it is done or must not be repeated, or until its timeout or its resends
// are exhausted.
func (c *Client) Do(ctx context.Context, req Request) *Result {
	if req.ID == (action.ID{}) {
		req.ID = action.NewID()
	}
	if req.Timeout == 0 {
		req.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	s := &actionState{req: req, res: Result{ID: req.ID}, remaining: c.cfg.Allowance}
	s.entry = int(c.nextEntry.Add(1)-1) % len(c.clients)
	for n := 0; ; n++ {
		c.send(ctx, s)
		if s.final() || n >= c.cfg.MaxResends || s.remaining == 0 || !c.waitResend(ctx, s) {
			return c.result(s)
		}
	}
}

// final reports whether another send would be useless or is not allowed.
func (s *actionState) final() bool {
	switch s.res.Outcome {
	case sycapb.Outcome_OUTCOME_DONE:
		return true
	case sycapb.Outcome_OUTCOME_FAILED:
		return s.req.NonIdempotent
	case sycapb.Outcome_OUTCOME_UNKNOWN:
		return s.req.NonIdempotent && len(s.ticket) == 0 && s.req.IdempotencyKey == ""
	}
	return s.res.Reason == sycapb.Reason_REASON_INVALID || s.res.Reason == sycapb.Reason_REASON_QUARANTINED
}

// result returns the result of an action. It reports an action as not run only if none of its sends
// may have run.
func (c *Client) result(s *actionState) *Result {
	if s.mayHaveRun && s.res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		s.res.Outcome = sycapb.Outcome_OUTCOME_FAILED
	}
	return &s.res
}

func (c *Client) waitResend(ctx context.Context, s *actionState) bool {
	delay := c.cfg.ResendDelay/2 + rand.N(c.cfg.ResendDelay+1)
	if !c.cfg.IgnoreRetryAfter {
		delay = max(delay, s.retryAfter)
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) <= delay {
		return false
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send makes one call to an entry and records its result.
func (c *Client) send(ctx context.Context, s *actionState) {
	if s.req.NonIdempotent && s.req.IdempotencyKey == "" && len(s.ticket) == 0 && !c.openTicket(ctx, s) {
		return
	}
	call := c.newCall(ctx, s)
	s.res.Sends++
	s.ticketSent = len(s.ticket) > 0
	reply, err := c.clients[s.entry].Submit(ctx, connect.NewRequest(call))
	if err == nil {
		err = action.Verify(call, reply.Msg)
		var mismatch *action.MismatchError
		if errors.As(err, &mismatch) {
			s.res.Mismatches++
		}
	}
	if err != nil {
		c.handleError(s, call, err)
		return
	}
	c.handleReply(s, call, reply.Msg)
}

func (c *Client) newCall(ctx context.Context, s *actionState) *sycapb.Call {
	timeout := s.req.Timeout
	if d, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(d), time.Microsecond)
	}
	return &sycapb.Call{
		ActionId:  s.req.ID[:],
		AttemptId: rand.Uint64(),
		Service:   s.req.Service,
		Method:    s.req.Method,
		Body:      s.req.Body,
		Digest:    action.Digest(s.req.Body),
		TimeoutUs: timeout.Microseconds(),
		Allowance: (s.remaining + 1) / 2,
		Ticket:    s.ticket,
		First:     len(s.ticket) > 0 && !s.ticketSent,
		Key:       s.req.IdempotencyKey,
	}
}

// handleError records a call without a valid reply and switches to the next entry.
func (c *Client) handleError(s *actionState, call *sycapb.Call, err error) {
	s.entry = (s.entry + 1) % len(c.clients)
	s.res.Detail = err.Error()
	s.retryAfter = 0
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		s.res.Outcome, s.res.Reason = sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_UNREACHABLE
		return
	}
	s.remaining -= min(s.remaining, call.Allowance)
	s.mayHaveRun = true
	s.res.Outcome, s.res.Reason = sycapb.Outcome_OUTCOME_UNKNOWN, sycapb.Reason_REASON_LOST
}

func (c *Client) handleReply(s *actionState, call *sycapb.Call, r *sycapb.Reply) {
	spent := call.Allowance - min(call.Allowance, r.Unspent)
	s.remaining -= min(s.remaining, spent)
	s.res.Outcome, s.res.Reason = r.Outcome, r.Reason
	s.res.Field, s.res.Detail = r.Field, r.Detail
	s.res.Body = r.Body
	s.res.Server = r.Server
	s.retryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	switch r.Outcome {
	case sycapb.Outcome_OUTCOME_NOTRUN:
		s.discardTicket(r)
		if r.Reason == sycapb.Reason_REASON_LEAVING || r.Reason == sycapb.Reason_REASON_UNREACHABLE {
			s.entry = (s.entry + 1) % len(c.clients)
		}
	case sycapb.Outcome_OUTCOME_FAILED, sycapb.Outcome_OUTCOME_UNKNOWN:
		s.mayHaveRun = true
	}
}

// discardTicket discards the ticket if it cannot have run: either its home voided it, or this was
// the only time it was sent. An entry that refuses a call itself has no knowledge of earlier sends.
func (s *actionState) discardTicket(r *sycapb.Reply) {
	if len(s.ticket) == 0 {
		return
	}
	if r.Server != "" {
		s.mayHaveRun = false
	}
	if !s.mayHaveRun {
		s.ticket = nil
	}
}

// openTicket opens a ticket at the entry and reports whether it got one.
func (c *Client) openTicket(ctx context.Context, s *actionState) bool {
	req := &sycapb.TicketRequest{Service: s.req.Service, Method: s.req.Method}
	r, err := c.clients[s.entry].OpenTicket(ctx, connect.NewRequest(req))
	if err != nil {
		s.entry = (s.entry + 1) % len(c.clients)
		s.res.Outcome, s.res.Reason, s.res.Detail = sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_UNREACHABLE, err.Error()
		return false
	}
	if r.Msg.Ticket == nil {
		if r.Msg.Reason == sycapb.Reason_REASON_LEAVING || r.Msg.Reason == sycapb.Reason_REASON_UNREACHABLE {
			s.entry = (s.entry + 1) % len(c.clients)
		}
		s.res.Outcome, s.res.Reason = sycapb.Outcome_OUTCOME_NOTRUN, r.Msg.Reason
		s.res.Field, s.res.Detail = r.Msg.Field, r.Msg.Detail
		return false
	}
	s.ticket = r.Msg.Ticket
	s.ticketSent = false
	return true
}
