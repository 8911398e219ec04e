package ticket_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

const (
	service = "payments"
	method  = "pay"
)

func newIssuer(now *time.Duration, incarnation uint64) *ticket.Issuer {
	return ticket.NewIssuer("payments-0", incarnation, time.Minute, func() time.Duration { return *now })
}

func mustIssue(t rapid.TB, iss *ticket.Issuer) []byte {
	raw, err := iss.Issue(service, method)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// ticketState is the expected state of one ticket.
type ticketState struct {
	raw    []byte
	runs   int
	voided bool
	open   *ticket.Run
	stale  bool
}

// A random sequence of tickets, resends, rejections, expiries and restarts of the home must never
// run a ticket twice, and never run one after a rejection.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		iss := newIssuer(&now, 1)
		var tickets []*ticketState
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				tickets = append(tickets, &ticketState{raw: mustIssue(t, iss)})
			case 1, 2, 3:
				if len(tickets) > 0 {
					resend(t, iss, rapid.SampledFrom(tickets).Draw(t, "ticket"))
				}
			case 4:
				now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					iss = newIssuer(&now, rapid.Uint64Range(2, 1<<60).Draw(t, "incarnation"))
					for _, ts := range tickets {
						ts.stale, ts.open = true, nil
					}
				}
			}
		}
	})
}

func resend(t *rapid.T, iss *ticket.Issuer, ts *ticketState) {
	run, err := iss.Begin(ts.raw, service, method, 1)
	var rejected *ticket.RejectedError
	if err != nil {
		if !errors.As(err, &rejected) {
			t.Fatalf("Begin returned %v", err)
		}
		if !rejected.MaybeSpent && ts.runs > 0 {
			t.Fatal("a ticket that ran is reported as unspent")
		}
		return
	}
	if ts.stale {
		t.Fatal("a ticket of an earlier incarnation was accepted")
	}
	if run.First() {
		if ts.runs > 0 || ts.voided || ts.open != nil {
			t.Fatal("First is true for a second attempt")
		}
		reject := rapid.Bool().Draw(t, "refuse")
		// The backend server may reject the call after the ticket was marked spent.
		if !reject || rapid.Bool().Draw(t, "spend") {
			run.MarkSpent()
		}
		if reject {
			run.Void(&sycapb.Reply{Outcome: sycapb.Outcome_OUTCOME_NOTRUN})
			ts.voided = true
			return
		}
		ts.runs++
		ts.open = run
	}
	if ts.open != nil && rapid.Bool().Draw(t, "finish") {
		ts.open.Finish(&sycapb.Reply{Outcome: sycapb.Outcome_OUTCOME_DONE})
		ts.open = nil
	}
}

func TestResendsGetTheReplyOfTheOneRun(t *testing.T) {
	now := time.Duration(0)
	iss := newIssuer(&now, 1)
	raw := mustIssue(t, iss)
	first, err := iss.Begin(raw, service, method, 1)
	if err != nil || !first.First() {
		t.Fatalf("first attempt: %v", err)
	}
	first.MarkSpent()
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			run, err := iss.Begin(raw, service, method, 1)
			if err != nil {
				return err
			}
			reply, err := run.Wait(context.Background())
			if err == nil && (run.First() || string(reply.Body) != "paid") {
				err = errors.New("a resend did not get the reply of the run")
			}
			return err
		})
	}
	first.Finish(&sycapb.Reply{Body: []byte("paid")})
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

func TestTicketsAreRejected(t *testing.T) {
	now := time.Duration(0)
	iss := newIssuer(&now, 1)
	raw := mustIssue(t, iss)
	if _, err := iss.Begin(raw, service, method, 1); err != nil {
		t.Fatal(err)
	}
	forged := append([]byte(nil), mustIssue(t, iss)...)
	forged[len(forged)-1] ^= 1
	expired := mustIssue(t, iss)
	other := mustIssue(t, newIssuer(&now, 2))
	check := func(name string, raw []byte, method string, digest uint64, maybeSpent bool) {
		_, err := iss.Begin(raw, service, method, digest)
		var rejected *ticket.RejectedError
		if !errors.As(err, &rejected) || rejected.MaybeSpent != maybeSpent {
			t.Errorf("%s: %v", name, err)
		}
	}
	check("another body", raw, method, 2, true)
	check("another method", mustIssue(t, iss), "refund", 1, false)
	check("forged", forged, method, 1, true)
	check("another incarnation", other, method, 1, true)
	now += 2 * time.Minute
	check("expired", expired, method, 1, true)
	_, err := iss.Begin([]byte("no ticket"), service, method, 1)
	var invalid *action.InvalidError
	if !errors.As(err, &invalid) || invalid.Field != "ticket" {
		t.Errorf("garbage: %v", err)
	}
}
