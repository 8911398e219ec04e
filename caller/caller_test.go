package caller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

// fakeEntry is a fake daemon with scripted replies.
type fakeEntry struct {
	mu      sync.Mutex
	script  []func(*sycapb.Call) (*sycapb.Reply, error)
	calls   []*sycapb.Call
	tickets int
}

// Submit implements the Entry service of the schema.
func (e *fakeEntry) Submit(_ context.Context, req *connect.Request[sycapb.Call]) (*connect.Response[sycapb.Reply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := min(len(e.calls), len(e.script)-1)
	e.calls = append(e.calls, req.Msg)
	r, err := e.script[n](req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(r), nil
}

// OpenTicket implements the Entry service of the schema.
func (e *fakeEntry) OpenTicket(context.Context, *connect.Request[sycapb.TicketRequest]) (*connect.Response[sycapb.TicketReply], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tickets++
	return connect.NewResponse(&sycapb.TicketReply{Ticket: []byte{byte(e.tickets)}}), nil
}

func newClient(t *testing.T, e *fakeEntry, cfg caller.Config) *caller.Client {
	mux := http.NewServeMux()
	mux.Handle(sycapb.NewEntryHandler(e))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	cfg.Entries = []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
	cfg.ResendDelay = time.Millisecond
	return caller.New(cfg)
}

func reply(outcome sycapb.Outcome, reason sycapb.Reason, server string) func(*sycapb.Call) (*sycapb.Reply, error) {
	return func(c *sycapb.Call) (*sycapb.Reply, error) {
		r := action.EmptyReply(c, outcome, reason, "")
		r.Server = server
		return r, nil
	}
}

func noReply(*sycapb.Call) (*sycapb.Reply, error) {
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("lost"))
}

var (
	done      = reply(sycapb.Outcome_OUTCOME_DONE, 0, "home")
	homeShed  = reply(sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_SHED, "home")
	entryShed = reply(sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_SHED, "")
)

func pay() caller.Request {
	return caller.Request{Service: "payments", Method: "pay", NonIdempotent: true, Timeout: 5 * time.Second}
}

// An entry that sheds a call itself does not know whether an earlier send, whose reply was lost,
// ran. A new ticket would let the call run a second time.
func TestTicketIsKeptAfterALostReply(t *testing.T) {
	e := &fakeEntry{script: []func(*sycapb.Call) (*sycapb.Reply, error){noReply, entryShed, done}}
	res := newClient(t, e, caller.Config{MaxResends: 5, Allowance: 64}).Do(context.Background(), pay())
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE || e.tickets != 1 {
		t.Fatalf("outcome %s with %d tickets, want one", res.Outcome, e.tickets)
	}
	if !e.calls[0].First || e.calls[1].First || e.calls[2].First {
		t.Fatal("First must be set on the first send of a ticket only")
	}
}

func TestVoidedTicketIsReplaced(t *testing.T) {
	e := &fakeEntry{script: []func(*sycapb.Call) (*sycapb.Reply, error){homeShed, done}}
	res := newClient(t, e, caller.Config{MaxResends: 5, Allowance: 64}).Do(context.Background(), pay())
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE || e.tickets != 2 || !e.calls[1].First {
		t.Fatalf("outcome %s with %d tickets, want two", res.Outcome, e.tickets)
	}
}

func TestNotRunIsNotReportedAfterALostReply(t *testing.T) {
	e := &fakeEntry{script: []func(*sycapb.Call) (*sycapb.Reply, error){noReply, entryShed}}
	req := caller.Request{Service: "plots", Method: "get", Timeout: time.Second}
	res := newClient(t, e, caller.Config{MaxResends: 2, Allowance: 64}).Do(context.Background(), req)
	if res.Outcome == sycapb.Outcome_OUTCOME_NOTRUN {
		t.Fatal("an action that may have run is reported as not run")
	}
}

func TestResendsShareOneAllowance(t *testing.T) {
	spendAll := func(c *sycapb.Call) (*sycapb.Reply, error) {
		r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_FAILED, sycapb.Reason_REASON_DEEPER, "")
		r.Unspent = 0
		return r, nil
	}
	e := &fakeEntry{script: []func(*sycapb.Call) (*sycapb.Reply, error){spendAll}}
	req := caller.Request{Service: "plots", Method: "get", Timeout: 5 * time.Second}
	newClient(t, e, caller.Config{MaxResends: 100, Allowance: 16}).Do(context.Background(), req)
	sum := uint32(0)
	for _, c := range e.calls {
		sum += c.Allowance
	}
	if sum > 16 {
		t.Fatalf("allowance of %d runs over %d sends, want at most 16", sum, len(e.calls))
	}
}

func TestMismatchedReplyIsDiscarded(t *testing.T) {
	mismatched := func(c *sycapb.Call) (*sycapb.Reply, error) {
		r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_DONE, 0, "")
		r.AttemptId++
		return r, nil
	}
	e := &fakeEntry{script: []func(*sycapb.Call) (*sycapb.Reply, error){mismatched, done}}
	req := caller.Request{Service: "plots", Method: "get", Timeout: time.Second}
	res := newClient(t, e, caller.Config{MaxResends: 2, Allowance: 64}).Do(context.Background(), req)
	if res.Mismatches != 1 || res.Sends != 2 || res.Outcome != sycapb.Outcome_OUTCOME_DONE {
		t.Fatalf("mismatches=%d sends=%d outcome=%s", res.Mismatches, res.Sends, res.Outcome)
	}
}
