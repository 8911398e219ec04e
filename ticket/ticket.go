// Package ticket ensures that a non-idempotent call runs at most once.
//
// A ticket names its home, the only daemon at which the call may run. The home
// signs the ticket with a key generated at its own start and marks it spent
// before the run. A resend goes to the same home and gets the same reply. If the
// home is gone the outcome is unknown, and the call never runs elsewhere; a new
// incarnation of the home rejects older tickets. This requires no lease, no
// platform and no synchronized clocks, so it holds across network partitions,
// process pauses and outages of the platform.
//
//	run, err := issuer.Begin(raw, "payments", "pay", digest)
//	if err != nil {
//		// *RejectedError: the ticket does not allow the call
//	}
//	if !run.First() {
//		return run.Wait(ctx)
//	}
//	run.MarkSpent()
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
	// maxTickets bounds the number of tickets that an issuer remembers.
	maxTickets = 100_000
)

// RejectedError reports a ticket that does not allow the call. This attempt caused no run;
// MaybeSpent reports whether an earlier one may have.
type RejectedError struct {
	Problem string
	// MaybeSpent is set if the ticket may have been used before.
	MaybeSpent bool
}

func (e *RejectedError) Error() string {
	return "ticket " + e.Problem
}

// FullError reports that an issuer has reached the limit of remembered tickets.
type FullError struct {
	Count int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d tickets are held, no more can be opened now", e.Count)
}

// Parse decodes a ticket without verifying its signature.
func Parse(raw []byte) (*sycapb.Ticket, error) {
	t := new(sycapb.Ticket)
	if err := proto.Unmarshal(raw, t); err != nil || t.Home == "" {
		return nil, &action.InvalidError{Field: "ticket", Problem: "is not a ticket"}
	}
	return t, nil
}

// Issuer issues the tickets of one home and remembers those that were used. It is safe for
// concurrent use.
type Issuer struct {
	// ID and Incarnation identify the daemon; every start of the daemon has a new incarnation.
	ID          string
	Incarnation uint64
	// TTL is how long a ticket is valid and is remembered.
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

// NewIssuer returns an issuer with a new key. clock must be monotonic; its zero is arbitrary.
func NewIssuer(id string, incarnation uint64, ttl time.Duration, clock func() time.Duration) *Issuer {
	key := make([]byte, keySize)
	_, _ = rand.Read(key)
	return &Issuer{ID: id, Incarnation: incarnation, TTL: ttl, key: key, clock: clock, records: map[string]*record{}}
}

// Issue returns a new ticket for one call of a method.
func (iss *Issuer) Issue(service, method string) ([]byte, error) {
	iss.mu.Lock()
	n := len(iss.records)
	iss.mu.Unlock()
	if n >= maxTickets {
		return nil, &FullError{Count: n}
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	t := &sycapb.Ticket{
		Home:        iss.ID,
		Incarnation: iss.Incarnation,
		Nonce:       nonce,
		ExpiresUs:   (iss.clock() + iss.TTL).Microseconds(),
		Service:     service,
		Method:      method,
	}
	t.Mac = iss.sign(t)
	return proto.Marshal(t)
}

func (iss *Issuer) sign(t *sycapb.Ticket) []byte {
	unsigned := proto.Clone(t).(*sycapb.Ticket)
	unsigned.Mac = nil
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(unsigned)
	mac := hmac.New(sha256.New, iss.key)
	mac.Write(b)
	return mac.Sum(nil)
}

// Begin starts the run of a ticket, or joins it if it was started before. The digest binds the
// ticket to the body of its first use.
func (iss *Issuer) Begin(raw []byte, service, method string, digest uint64) (*Run, error) {
	t, err := iss.verify(raw, service, method)
	if err != nil {
		return nil, err
	}
	iss.mu.Lock()
	defer iss.mu.Unlock()
	now := iss.clock()
	iss.expire(now)
	if t.ExpiresUs <= now.Microseconds() {
		return nil, &RejectedError{Problem: "has expired", MaybeSpent: true}
	}
	nonce := string(t.Nonce)
	if rec, ok := iss.records[nonce]; ok {
		if rec.digest != digest {
			return nil, &RejectedError{Problem: "was used with another body", MaybeSpent: true}
		}
		return &Run{issuer: iss, nonce: nonce, rec: rec}, nil
	}
	rec := &record{digest: digest, done: make(chan struct{})}
	iss.records[nonce] = rec
	iss.expiry = append(iss.expiry, expiry{nonce: nonce, at: time.Duration(t.ExpiresUs) * time.Microsecond})
	return &Run{issuer: iss, nonce: nonce, rec: rec, first: true}, nil
}

func (iss *Issuer) verify(raw []byte, service, method string) (*sycapb.Ticket, error) {
	t, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if t.Home != iss.ID || t.Incarnation != iss.Incarnation {
		return nil, &RejectedError{Problem: "belongs to another home or an earlier incarnation", MaybeSpent: true}
	}
	if !hmac.Equal(t.Mac, iss.sign(t)) {
		// The ticket may be signed with an earlier key of this home, in which case it may have run.
		return nil, &RejectedError{Problem: "has a wrong signature", MaybeSpent: true}
	}
	if t.Service != service || t.Method != method {
		return nil, &RejectedError{Problem: fmt.Sprintf("is for %s.%s", t.Service, t.Method)}
	}
	return t, nil
}

// expire removes the records of expired tickets.
func (iss *Issuer) expire(now time.Duration) {
	for len(iss.expiry) > 0 && iss.expiry[0].at <= now {
		delete(iss.records, iss.expiry[0].nonce)
		iss.expiry = iss.expiry[1:]
	}
}

// Len returns the number of remembered tickets.
func (iss *Issuer) Len() int {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	return len(iss.records)
}

// Run is one attempt's handle on the run of a ticket.
type Run struct {
	issuer *Issuer
	nonce  string
	rec    *record
	first  bool
}

// record is the state of one remembered ticket.
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

// Void ends a ticket whose call did not run, because it was refused before MarkSpent or rejected by
// the backend server after it. The ticket can never run afterwards, so the reply stays correct for
// late duplicates.
func (r *Run) Void(reply *sycapb.Reply) {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	invar.Check(r.first && r.rec.reply == nil, "ticket", action.ID{}, "ticket %x voided after it ended", r.nonce)
	r.finish(reply)
}

// Finish records the reply of the run for resends.
func (r *Run) Finish(reply *sycapb.Reply) {
	r.issuer.mu.Lock()
	defer r.issuer.mu.Unlock()
	invar.Check(r.first && r.rec.spent, "ticket", action.ID{}, "ticket %x ran unspent", r.nonce)
	r.finish(reply)
}

func (r *Run) finish(reply *sycapb.Reply) {
	r.rec.reply = reply
	close(r.rec.done)
}

// Wait returns the reply of the run once it has ended, or the error of ctx.
func (r *Run) Wait(ctx context.Context) (*sycapb.Reply, error) {
	select {
	case <-r.rec.done:
		return r.rec.reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
