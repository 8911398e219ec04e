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
//		// *RejectedError: this ticket does not allow the call
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
	// maxTickets bounds the tickets that a home remembers.
	maxTickets = 100_000
)

// RejectedError reports a ticket that does not allow the call. Nothing ran on
// account of this attempt; Spent tells whether an earlier one may have run.
type RejectedError struct {
	Problem string
	// MaybeSpent is true when the ticket may have been used before.
	MaybeSpent bool
}

func (e *RejectedError) Error() string {
	return "ticket " + e.Problem
}

// FullError reports that a home remembers as many tickets as it can.
type FullError struct {
	Count int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d tickets are held, no more can be opened now", e.Count)
}

// Parse reads the public part of a ticket without checking its signature.
func Parse(raw []byte) (*sycapb.Ticket, error) {
	t := new(sycapb.Ticket)
	if err := proto.Unmarshal(raw, t); err != nil || t.Home == "" {
		return nil, &action.InvalidError{Field: "ticket", Problem: "is not a ticket"}
	}
	return t, nil
}

// Issuer issues tickets and remembers those that were used. It is safe for
// concurrent use.
type Issuer struct {
	// ID and Incarnation identify the daemon; a restart changes the incarnation.
	ID          string
	Incarnation uint64
	// TTL is how long a ticket may be used and is remembered.
	TTL time.Duration

	key   []byte
	clock func() time.Duration

	mu      sync.Mutex
	records map[string]*record
	expiry  []expiry
}

type expiry struct {
	nonce string
	at    time.Duration
}

// NewIssuer returns a home with a fresh key. The clock is monotonic and starts
// anywhere.
func NewIssuer(id string, incarnation uint64, ttl time.Duration, clock func() time.Duration) *Issuer {
	key := make([]byte, keySize)
	_, _ = rand.Read(key)
	return &Issuer{ID: id, Incarnation: incarnation, TTL: ttl, key: key, clock: clock, records: map[string]*record{}}
}

// Issue opens a ticket for one call of a method.
func (h *Issuer) Issue(service, method string) ([]byte, error) {
	h.mu.Lock()
	n := len(h.records)
	h.mu.Unlock()
	if n >= maxTickets {
		return nil, &FullError{Count: n}
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	t := &sycapb.Ticket{
		Home:        h.ID,
		Incarnation: h.Incarnation,
		Nonce:       nonce,
		ExpiresUs:   (h.clock() + h.TTL).Microseconds(),
		Service:     service,
		Method:      method,
	}
	t.Mac = h.sign(t)
	return proto.Marshal(t)
}

func (h *Issuer) sign(t *sycapb.Ticket) []byte {
	unsigned := proto.Clone(t).(*sycapb.Ticket)
	unsigned.Mac = nil
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(unsigned)
	m := hmac.New(sha256.New, h.key)
	m.Write(b)
	return m.Sum(nil)
}

// Begin starts or joins the one run of a ticket. The digest binds the ticket
// to the body it was first used with.
func (h *Issuer) Begin(raw []byte, service, method string, digest uint64) (*Run, error) {
	t, err := h.verify(raw, service, method)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.expire(now)
	if t.ExpiresUs <= now.Microseconds() {
		return nil, &RejectedError{Problem: "has expired", MaybeSpent: true}
	}
	nonce := string(t.Nonce)
	if rec, ok := h.records[nonce]; ok {
		if rec.digest != digest {
			return nil, &RejectedError{Problem: "was used with another body", MaybeSpent: true}
		}
		return &Run{issuer: h, nonce: nonce, rec: rec}, nil
	}
	rec := &record{digest: digest, done: make(chan struct{})}
	h.records[nonce] = rec
	h.expiry = append(h.expiry, expiry{nonce: nonce, at: time.Duration(t.ExpiresUs) * time.Microsecond})
	return &Run{issuer: h, nonce: nonce, rec: rec, first: true}, nil
}

func (h *Issuer) verify(raw []byte, service, method string) (*sycapb.Ticket, error) {
	t, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if t.Home != h.ID || t.Incarnation != h.Incarnation {
		return nil, &RejectedError{Problem: "belongs to another home or an earlier incarnation", MaybeSpent: true}
	}
	if !hmac.Equal(t.Mac, h.sign(t)) {
		// It may stem from an earlier key of this home, so nothing is known of its run.
		return nil, &RejectedError{Problem: "has a wrong signature", MaybeSpent: true}
	}
	if t.Service != service || t.Method != method {
		return nil, &RejectedError{Problem: fmt.Sprintf("is for %s.%s", t.Service, t.Method)}
	}
	return t, nil
}

// expire drops the tickets that have expired and are not running.
func (h *Issuer) expire(now time.Duration) {
	for len(h.expiry) > 0 && h.expiry[0].at <= now {
		delete(h.records, h.expiry[0].nonce)
		h.expiry = h.expiry[1:]
	}
}

// Len returns the number of remembered tickets.
func (h *Issuer) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

// Run is one attempt's view of the run of a ticket.
type Run struct {
	issuer *Issuer
	nonce  string
	rec    *record
	first  bool
}

// record is what a home remembers of one ticket.
type record struct {
	digest uint64
	spent  bool
	reply  *sycapb.Reply
	done   chan struct{}
}

// First reports whether this attempt is the one that may run the call.
func (r *Run) First() bool {
	return r.first
}

// MarkSpent marks the ticket as used. It must be called before the run.
func (r *Run) MarkSpent() {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	invar.Check(r.first && !r.rec.spent && r.rec.reply == nil, "ticket", action.ID{}, "ticket %x spent twice", r.nonce)
	r.rec.spent = true
}

// Void ends a ticket whose call did not run, whether it was refused before
// Spend or by the backend server after it. The ticket never runs afterwards,
// so that the refusal stays true for late duplicates.
func (r *Run) Void(reply *sycapb.Reply) {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	invar.Check(r.first && r.rec.reply == nil, "ticket", action.ID{}, "ticket %x voided after it ended", r.nonce)
	r.end(reply)
}

// Finish keeps the reply of the run for resends.
func (r *Run) Finish(reply *sycapb.Reply) {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	invar.Check(r.first && r.rec.spent, "ticket", action.ID{}, "ticket %x ran unspent", r.nonce)
	r.end(reply)
}

func (r *Run) end(reply *sycapb.Reply) {
	r.rec.reply = reply
	close(r.rec.done)
}

// Wait returns the reply of the run when it has ended, or the error of ctx.
func (r *Run) Wait(ctx context.Context) (*sycapb.Reply, error) {
	select {
	case <-r.rec.done:
		return r.rec.reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
