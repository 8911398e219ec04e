// Package ticket makes sure that an unrepeatable call runs at most once.
//
// A ticket names its home, the one daemon at which the call may run. The home
// signs it with a key made at its own start and marks it spent before the
// run. A resend goes to the same home and gets the same reply. When the home
// is gone the outcome is unknown, and the call never runs elsewhere; a new
// incarnation of the home refuses older tickets. No lease, platform or clock
// agreement takes part, so the rule holds across partitions, pauses and
// outages of the platform.
//
//	run, err := home.Begin(raw, "payments", "pay", digest)
//	if err != nil {
//		// *RefusedError: this ticket does not allow the call
//	}
//	if !run.First() {
//		return run.Wait(ctx)
//	}
//	run.Spend()
//	run.Finish(serve())
package ticket

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
	"sycamorespread.dev/sycapb"
)

const (
	keySize   = 32
	nonceSize = 16
	// maxHeld bounds the tickets that a home remembers.
	maxHeld = 100_000
)

// RefusedError reports a ticket that does not allow the call. Nothing ran on
// account of this attempt; Spent tells whether an earlier one may have run.
type RefusedError struct {
	Problem string
	// Spent is true when the ticket may have been used before.
	Spent bool
}

func (e *RefusedError) Error() string {
	return "ticket " + e.Problem
}

// FullError reports that a home remembers as many tickets as it can.
type FullError struct {
	Held int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d tickets are held, no more can be opened now", e.Held)
}

// Parse reads the public part of a ticket without checking its signature.
func Parse(raw []byte) (*sycapb.Ticket, error) {
	t := new(sycapb.Ticket)
	if err := proto.Unmarshal(raw, t); err != nil || t.Home == "" {
		return nil, &action.InvalidError{Field: "ticket", Problem: "is not a ticket"}
	}
	return t, nil
}

// Home issues tickets and remembers those that were used. It is safe for
// concurrent use.
type Home struct {
	// ID and Incarnation identify the daemon; a restart changes the incarnation.
	ID          string
	Incarnation uint64
	// Valid is how long a ticket may be used and is remembered.
	Valid time.Duration

	key   []byte
	clock func() time.Duration

	mu     sync.Mutex
	held   map[string]*record
	expiry []expiry
}

type expiry struct {
	nonce string
	at    time.Duration
}

// NewHome returns a home with a fresh key. The clock is monotonic and starts
// anywhere.
func NewHome(id string, incarnation uint64, valid time.Duration, clock func() time.Duration) *Home {
	key := make([]byte, keySize)
	_, _ = rand.Read(key)
	return &Home{ID: id, Incarnation: incarnation, Valid: valid, key: key, clock: clock, held: map[string]*record{}}
}

// Issue opens a ticket for one call of a method.
func (h *Home) Issue(service, method string) ([]byte, error) {
	h.mu.Lock()
	n := len(h.held)
	h.mu.Unlock()
	if n >= maxHeld {
		return nil, &FullError{Held: n}
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	t := &sycapb.Ticket{
		Home:        h.ID,
		Incarnation: h.Incarnation,
		Nonce:       nonce,
		ExpiresUs:   (h.clock() + h.Valid).Microseconds(),
		Service:     service,
		Method:      method,
	}
	t.Mac = h.sign(t)
	return proto.Marshal(t)
}

func (h *Home) sign(t *sycapb.Ticket) []byte {
	bare := proto.Clone(t).(*sycapb.Ticket)
	bare.Mac = nil
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	m := hmac.New(sha256.New, h.key)
	m.Write(b)
	return m.Sum(nil)
}

// Begin starts or joins the one run of a ticket. The digest binds the ticket
// to the body it was first used with.
func (h *Home) Begin(raw []byte, service, method string, digest uint64) (*Run, error) {
	t, err := h.check(raw, service, method)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.forget(now)
	if t.ExpiresUs <= now.Microseconds() {
		return nil, &RefusedError{Problem: "has expired", Spent: true}
	}
	nonce := string(t.Nonce)
	if rec, ok := h.held[nonce]; ok {
		if rec.digest != digest {
			return nil, &RefusedError{Problem: "was used with another body", Spent: true}
		}
		return &Run{home: h, nonce: nonce, rec: rec}, nil
	}
	rec := &record{digest: digest, ended: make(chan struct{})}
	h.held[nonce] = rec
	h.expiry = append(h.expiry, expiry{nonce: nonce, at: time.Duration(t.ExpiresUs) * time.Microsecond})
	return &Run{home: h, nonce: nonce, rec: rec, first: true}, nil
}

func (h *Home) check(raw []byte, service, method string) (*sycapb.Ticket, error) {
	t, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if t.Home != h.ID || t.Incarnation != h.Incarnation {
		return nil, &RefusedError{Problem: "belongs to another home or an earlier incarnation", Spent: true}
	}
	if !hmac.Equal(t.Mac, h.sign(t)) {
		// It may stem from an earlier key of this home, so nothing is known of its run.
		return nil, &RefusedError{Problem: "has a wrong signature", Spent: true}
	}
	if t.Service != service || t.Method != method {
		return nil, &RefusedError{Problem: fmt.Sprintf("is for %s.%s", t.Service, t.Method)}
	}
	return t, nil
}

// forget drops the tickets that have expired and are not running.
func (h *Home) forget(now time.Duration) {
	for len(h.expiry) > 0 && h.expiry[0].at <= now {
		delete(h.held, h.expiry[0].nonce)
		h.expiry = h.expiry[1:]
	}
}

// Held returns the number of remembered tickets.
func (h *Home) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// Run is one attempt's view of the run of a ticket.
type Run struct {
	home  *Home
	nonce string
	rec   *record
	first bool
}

// record is what a home remembers of one ticket.
type record struct {
	digest uint64
	spent  bool
	reply  *sycapb.Reply
	ended  chan struct{}
}

// First reports whether this attempt is the one that may run the call.
func (r *Run) First() bool {
	return r.first
}

// Spend marks the ticket as used. It must be called before the run.
func (r *Run) Spend() {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	invar.Check(r.first && !r.rec.spent && r.rec.reply == nil, "ticket", action.ID{}, "ticket %x spent twice", r.nonce)
	r.rec.spent = true
}

// Void ends a ticket whose call did not run, whether it was refused before
// Spend or by the backend server after it. The ticket never runs afterwards,
// so that the refusal stays true for late duplicates.
func (r *Run) Void(reply *sycapb.Reply) {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	invar.Check(r.first && r.rec.reply == nil, "ticket", action.ID{}, "ticket %x voided after it ended", r.nonce)
	r.end(reply)
}

// Finish keeps the reply of the run for resends.
func (r *Run) Finish(reply *sycapb.Reply) {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	invar.Check(r.first && r.rec.spent, "ticket", action.ID{}, "ticket %x ran unspent", r.nonce)
	r.end(reply)
}

func (r *Run) end(reply *sycapb.Reply) {
	r.rec.reply = reply
	close(r.rec.ended)
}

// Wait returns the reply of the run when it has ended, or the error of ctx.
func (r *Run) Wait(ctx context.Context) (*sycapb.Reply, error) {
	select {
	case <-r.rec.ended:
		return r.rec.reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
