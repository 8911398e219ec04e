package policy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

// HeadKey is the platform key that names the policy in force.
const HeadKey = "policy/head"

const (
	changePrefix = "policy/change/"
	// acceptAttempts is how often an accept with a lost answer is sent again.
	acceptAttempts = 4
	// acceptRetryDelay is the pause before each of them.
	acceptRetryDelay = 100 * time.Millisecond
	// maxHistory bounds the changes that History returns.
	maxHistory = 100
)

// Registry proposes, reviews and accepts policy changes in the platform. Any
// number of registries may work on the same platform.
type Registry struct {
	// Get and Put are the platform's reads and compare-and-swaps.
	Get func(ctx context.Context, key string) (store.Item, error)
	Put func(ctx context.Context, key string, value []byte, base, lease uint64) (store.WriteResult, error)
	// Now reads the clock for the dates of changes.
	Now func() time.Time
	// Sleep waits between the tries of an accept and reports whether ctx is still live.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	// AcceptedID is the change that was accepted on the same base.
	AcceptedID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s was accepted first; propose again on top of it", e.AcceptedID)
}

// RejectedError reports a request that the rules of review do not allow.
type RejectedError struct {
	Problem string
}

func (e *RejectedError) Error() string {
	return e.Problem
}

// UnknownOutcomeError reports an accept of which neither success nor failure could
// be established. Sending the same accept again is safe.
type UnknownOutcomeError struct {
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("cannot tell whether the change was accepted (%v); accept it again", e.Err)
}

// Propose checks a policy text and stores it as a change on the present head.
func (r *Registry) Propose(ctx context.Context, author, summary, text string) (*sycapb.Change, error) {
	if author == "" {
		return nil, &RejectedError{Problem: "a change needs an author"}
	}
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	head, _, err := r.head(ctx)
	if err != nil {
		return nil, err
	}
	id := make([]byte, 6)
	_, _ = rand.Read(id)
	c := &sycapb.Change{
		Id:            hex.EncodeToString(id),
		Author:        author,
		Summary:       summary,
		Text:          text,
		BaseRevision:  head.Revision,
		BaseChange:    head.ChangeId,
		CreatedUnixMs: r.Now().UnixMilli(),
	}
	return c, r.write(ctx, c, 0)
}

// write stores a change whose item has the given version, and reads back when
// the answer is lost.
func (r *Registry) write(ctx context.Context, c *sycapb.Change, base uint64) error {
	b, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrapf(err, "encode change %s", c.Id)
	}
	put, err := r.Put(ctx, changePrefix+c.Id, b, base, 0)
	if err == nil {
		if !put.Swapped {
			return &ConflictError{AcceptedID: c.Id}
		}
		return nil
	}
	stored, _, readErr := r.change(ctx, c.Id)
	if readErr == nil && proto.Equal(stored, c) {
		return nil
	}
	return err
}

func (r *Registry) change(ctx context.Context, id string) (*sycapb.Change, uint64, error) {
	item, err := r.Get(ctx, changePrefix+id)
	if err != nil {
		return nil, 0, err
	}
	if item.Revision == 0 {
		return nil, 0, &RejectedError{Problem: fmt.Sprintf("change %q does not exist", id)}
	}
	c := new(sycapb.Change)
	if err := proto.Unmarshal(item.Value, c); err != nil {
		return nil, 0, errors.Wrapf(err, "decode change %s", id)
	}
	return c, item.Revision, nil
}

func (r *Registry) head(ctx context.Context) (*sycapb.Head, uint64, error) {
	item, err := r.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, err
	}
	h, err := ParseHead(item.Value)
	return h, item.Revision, err
}

// ParseHead reads the value of HeadKey; an empty value is revision 0.
func ParseHead(value []byte) (*sycapb.Head, error) {
	h := new(sycapb.Head)
	err := proto.Unmarshal(value, h)
	return h, errors.Wrap(err, "decode the policy head")
}

// Review adds a written review by another author to a change.
func (r *Registry) Review(ctx context.Context, id string, review *sycapb.Review) (*sycapb.Change, error) {
	c, version, err := r.change(ctx, id)
	if err != nil {
		return nil, err
	}
	switch {
	case review.GetAuthor() == "":
		return nil, &RejectedError{Problem: "a review needs an author"}
	case review.Author == c.Author:
		return nil, &RejectedError{Problem: fmt.Sprintf("%s proposed the change; another author must review it", c.Author)}
	case review.Text == "":
		return nil, &RejectedError{Problem: "a review needs a text"}
	}
	c.Reviews = append(c.Reviews, review)
	return c, r.write(ctx, c, version)
}

// Accept puts a reviewed change in force and returns its revision. Of two
// accepts on the same base one returns a *ConflictError that names the other.
// An accept that cannot be settled is an *UnknownOutcomeError.
func (r *Registry) Accept(ctx context.Context, id string) (uint64, error) {
	c, _, err := r.change(ctx, id)
	if err != nil {
		return 0, err
	}
	if !approved(c) {
		return 0, &RejectedError{Problem: fmt.Sprintf("change %s has no approving review, or its latest review rejects it", id)}
	}
	if _, err := Parse(c.Text); err != nil {
		return 0, err
	}
	sent := false
	for attempt := range acceptAttempts {
		if attempt > 0 && !r.Sleep(ctx, acceptRetryDelay) {
			break
		}
		var done bool
		done, err = r.acceptOnce(ctx, c, &sent)
		if done {
			return c.BaseRevision + 1, err
		}
	}
	if !sent {
		return 0, err
	}
	return 0, &UnknownOutcomeError{Err: err}
}

// acceptOnce reads the head and swaps it when it is the base of c. Done tells
// that err is the final result.
func (r *Registry) acceptOnce(ctx context.Context, c *sycapb.Change, sent *bool) (done bool, err error) {
	head, version, err := r.head(ctx)
	if err != nil {
		return false, err
	}
	if head.Revision != c.BaseRevision || head.ChangeId != c.BaseChange {
		return r.resolve(ctx, c, head)
	}
	next := &sycapb.Head{Revision: c.BaseRevision + 1, ChangeId: c.Id, Digest: action.Digest([]byte(c.Text))}
	b, err := proto.Marshal(next)
	if err != nil {
		return true, errors.Wrap(err, "encode the policy head")
	}
	*sent = true
	put, err := r.Put(ctx, HeadKey, b, version, 0)
	if err != nil {
		return false, err
	}
	if put.Swapped {
		return true, nil
	}
	return false, errors.New("the head changed meanwhile")
}

// resolve finds which change was accepted on the base of c.
func (r *Registry) resolve(ctx context.Context, c *sycapb.Change, head *sycapb.Head) (done bool, err error) {
	if head.Revision <= c.BaseRevision {
		return true, &RejectedError{Problem: fmt.Sprintf("the platform is at revision %d, older than the base %d of the change", head.Revision, c.BaseRevision)}
	}
	id := head.ChangeId
	for {
		if id == c.Id {
			return true, nil
		}
		accepted, _, err := r.change(ctx, id)
		if err != nil {
			return false, err
		}
		if accepted.BaseRevision <= c.BaseRevision {
			return true, &ConflictError{AcceptedID: accepted.Id}
		}
		id = accepted.BaseChange
	}
}

// approved reports whether another author's latest review approves c.
func approved(c *sycapb.Change) bool {
	if len(c.Reviews) == 0 {
		return false
	}
	last := c.Reviews[len(c.Reviews)-1]
	return last.Approve && last.Author != c.Author
}

// Load reads the policy that a head names.
func (r *Registry) Load(ctx context.Context, head *sycapb.Head) (*Policy, error) {
	c, _, err := r.change(ctx, head.ChangeId)
	if err != nil {
		return nil, err
	}
	if d := action.Digest([]byte(c.Text)); d != head.Digest {
		return nil, &RejectedError{Problem: fmt.Sprintf("change %s has digest %x, the head names %x", c.Id, d, head.Digest)}
	}
	return ParseAccepted(head.Revision, c.Id, c.Text)
}

// ParseAccepted returns the policy of an accepted change.
func ParseAccepted(revision uint64, id, text string) (*Policy, error) {
	p, err := Parse(text)
	if err != nil {
		return nil, err
	}
	p.Revision = revision
	p.ChangeID = id
	return p, nil
}

// History returns the head and the accepted changes, the newest first.
func (r *Registry) History(ctx context.Context, limit int) (*sycapb.Head, []*sycapb.Change, error) {
	head, _, err := r.head(ctx)
	if err != nil {
		return nil, nil, err
	}
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	var list []*sycapb.Change
	for id := head.ChangeId; id != "" && len(list) < limit; {
		c, _, err := r.change(ctx, id)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, c)
		id = c.BaseChange
	}
	return head, list, nil
}
