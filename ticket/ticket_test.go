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

func mustIssue(t rapid.TB, h *ticket.Issuer) []byte {
	raw, err := h.Issue(service, method)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// ticketState is what the test knows of one ticket.
type ticketState struct {
	raw    []byte
	runs   int
	voided bool
	open   *ticket.Run
	dead   bool
}

// A random mix of tickets, resends, refusals, expiry and restarts of the home
// never runs a ticket twice, and a refusal is never followed by a run.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		h := newIssuer(&now, 1)
		var tickets []*ticketState
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				tickets = append(tickets, &ticketState{raw: mustIssue(t, h)})
			case 1, 2, 3:
				if len(tickets) > 0 {
					resend(t, h, rapid.SampledFrom(tickets).Draw(t, "ticket"))
				}
			case 4:
				now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					h = newIssuer(&now, rapid.Uint64Range(2, 1<<60).Draw(t, "incarnation"))
					for _, m := range tickets {
						m.dead, m.open = true, nil
					}
				}
			}
		}
	})
}

func resend(t *rapid.T, h *ticket.Issuer, m *ticketState) {
	run, err := h.Begin(m.raw, service, method, 1)
	var refused *ticket.RejectedError
	if err != nil {
		if !errors.As(err, &refused) {
			t.Fatalf("begin ended with %v", err)
		}
		if !refused.MaybeSpent && m.runs > 0 {
			t.Fatal("a ticket that ran is called unspent")
		}
		return
	}
	if m.dead {
		t.Fatal("a ticket of an earlier incarnation was taken")
	}
	if run.First() {
		if m.runs > 0 || m.voided || m.open != nil {
			t.Fatal("a second attempt is the first")
		}
		refuse := rapid.Bool().Draw(t, "refuse")
		// A backend server may refuse after the ticket was marked spent.
		if !refuse || rapid.Bool().Draw(t, "spend") {
			run.MarkSpent()
		}
		if refuse {
			run.Void(&sycapb.Reply{Outcome: sycapb.Outcome_OUTCOME_NOTRUN})
			m.voided = true
			return
		}
		m.runs++
		m.open = run
	}
	if m.open != nil && rapid.Bool().Draw(t, "finish") {
		m.open.Finish(&sycapb.Reply{Outcome: sycapb.Outcome_OUTCOME_DONE})
		m.open = nil
	}
}

func TestResendsGetTheReplyOfTheOneRun(t *testing.T) {
	now := time.Duration(0)
	h := newIssuer(&now, 1)
	raw := mustIssue(t, h)
	first, err := h.Begin(raw, service, method, 1)
	if err != nil || !first.First() {
		t.Fatalf("first attempt: %v", err)
	}
	first.MarkSpent()
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			run, err := h.Begin(raw, service, method, 1)
			if err != nil {
				return err
			}
			r, err := run.Wait(context.Background())
			if err == nil && (run.First() || string(r.Body) != "paid") {
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

func TestTicketsAreRefused(t *testing.T) {
	now := time.Duration(0)
	h := newIssuer(&now, 1)
	raw := mustIssue(t, h)
	if _, err := h.Begin(raw, service, method, 1); err != nil {
		t.Fatal(err)
	}
	forged := append([]byte(nil), mustIssue(t, h)...)
	forged[len(forged)-1] ^= 1
	late := mustIssue(t, h)
	other := mustIssue(t, newIssuer(&now, 2))
	check := func(name string, raw []byte, method string, digest uint64, spent bool) {
		_, err := h.Begin(raw, service, method, digest)
		var bad *ticket.RejectedError
		if !errors.As(err, &bad) || bad.MaybeSpent != spent {
			t.Errorf("%s: %v", name, err)
		}
	}
	check("another body", raw, method, 2, true)
	check("another method", mustIssue(t, h), "refund", 1, false)
	check("forged", forged, method, 1, true)
	check("another incarnation", other, method, 1, true)
	now += 2 * time.Minute
	check("expired", late, method, 1, true)
	_, err := h.Begin([]byte("no ticket"), service, method, 1)
	var invalid *action.InvalidError
	if !errors.As(err, &invalid) || invalid.Field != "ticket" {
		t.Errorf("garbage: %v", err)
	}
}
