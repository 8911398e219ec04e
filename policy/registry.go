package policy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

// HeadKey is the key in the platform's key-value store that identifies the active policy.
const HeadKey = "policy/head"

const (
	changePrefix = "policy/change/"
	// acceptAttempts is the maximum number of attempts to accept a change while the
	// outcome is unknown.
	acceptAttempts = 4
	// acceptRetryDelay is the delay before each further attempt.
	acceptRetryDelay = 100 * time.Millisecond
	// maxHistory is the maximum number of changes that History returns.
	maxHistory = 100
)

// Registry proposes, reviews and accepts policy changes in the platform's
// key-value store. Any number of registries may use the same store concurrently.
type Registry struct {
	// Get reads a key and Put is a compare-and-swap write.
	Get func(ctx context.Context, key string) (store.Item, error)
	Put func(ctx context.Context, key string, value []byte, base store.Revision, lease store.Lease) (store.WriteResult, error)
	// Now returns the time for the creation dates of changes.
	Now func() time.Time
	// Sleep waits between the attempts of an accept; it returns false if ctx has ended.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// ConflictError reports that another change on the same base was accepted first.
type ConflictError struct {
	// AcceptedID identifies the change that was accepted.
	AcceptedID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s was accepted first; propose again on top of it", e.AcceptedID)
}

// RejectedError reports an operator's request that the review rules do not allow.
type RejectedError struct {
	Problem string
}

func (e *RejectedError) Error() string {
	return e.Problem
}

// ChangeError reports a stored change that no Registry can have written.
type ChangeError struct {
	ID, Field string
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("stored change %q: invalid %s", e.ID, e.Field)
}

// UnknownOutcomeError reports an accept whose outcome could not be determined.
// Retrying it is safe.
type UnknownOutcomeError struct {
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("cannot tell whether the change was accepted (%v); accept it again", e.Err)
}

// Propose validates a policy text and stores it as a change on top of the
// current head.
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
	return c, r.write(ctx, c, store.Revision{})
}

// write stores a change if its item still has the revision base. If the response
// is lost, it reads the change back to determine the outcome.
func (r *Registry) write(ctx context.Context, c *sycapb.Change, base store.Revision) error {
	b, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrapf(err, "encode change %s", c.Id)
	}
	put, err := r.Put(ctx, changePrefix+c.Id, b, base, store.Lease{})
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

func (r *Registry) change(ctx context.Context, id string) (*sycapb.Change, store.Revision, error) {
	item, err := r.Get(ctx, changePrefix+id)
	if err != nil {
		return nil, store.Revision{}, err
	}
	if item.Revision.Number == 0 {
		return nil, store.Revision{}, &RejectedError{Problem: fmt.Sprintf("change %q does not exist", id)}
	}
	c := new(sycapb.Change)
	if err := proto.Unmarshal(item.Value, c); err != nil {
		return nil, store.Revision{}, errors.Wrapf(err, "decode change %s", id)
	}
	switch {
	case c.Id != id:
		return nil, store.Revision{}, &ChangeError{ID: id, Field: "id"}
	case c.BaseRevision == math.MaxUint64:
		return nil, store.Revision{}, &ChangeError{ID: id, Field: "base_revision"}
	}
	return c, item.Revision, nil
}

func (r *Registry) head(ctx context.Context) (*sycapb.Head, store.Revision, error) {
	item, err := r.Get(ctx, HeadKey)
	if err != nil {
		return nil, store.Revision{}, err
	}
	h, err := ParseHead(item.Value)
	return h, item.Revision, err
}

// ParseHead decodes the value of HeadKey; an empty value is revision 0.
func ParseHead(value []byte) (*sycapb.Head, error) {
	h := new(sycapb.Head)
	err := proto.Unmarshal(value, h)
	return h, errors.Wrap(err, "decode the policy head")
}

// Review appends a written review to a change. Its author must not be the
// author of the change.
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

// Accept activates a reviewed change and returns its revision. If two changes on
// the same base are accepted concurrently, one accept returns a *ConflictError
// with the ID of the other change. If the outcome cannot be determined, the error
// is an *UnknownOutcomeError.
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

// acceptOnce reads the head and, if it is the base of c, replaces it by c. It
// returns done if err is final, and sets sent before it writes.
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
	put, err := r.Put(ctx, HeadKey, b, version, store.Lease{})
	if err != nil {
		return false, err
	}
	if put.Swapped {
		return true, nil
	}
	return false, errors.New("the policy head changed between the read and the write")
}

// resolve follows the history back from head to find which change was accepted
// on the base of c: c itself or a conflicting one.
func (r *Registry) resolve(ctx context.Context, c *sycapb.Change, head *sycapb.Head) (done bool, err error) {
	if head.Revision <= c.BaseRevision {
		return true, &RejectedError{Problem: fmt.Sprintf("the platform is at revision %d, older than the base %d of the change", head.Revision, c.BaseRevision)}
	}
	id, revision := head.ChangeId, head.Revision
	for {
		if id == c.Id {
			return true, nil
		}
		accepted, _, err := r.change(ctx, id)
		if err != nil {
			return false, err
		}
		if accepted.BaseRevision >= revision {
			return true, &ChangeError{ID: id, Field: "base_revision"}
		}
		revision = accepted.BaseRevision
		if accepted.BaseRevision <= c.BaseRevision {
			return true, &ConflictError{AcceptedID: accepted.Id}
		}
		id = accepted.BaseChange
	}
}

// approved reports whether the latest review of c approves it and is by another
// author.
func approved(c *sycapb.Change) bool {
	if len(c.Reviews) == 0 {
		return false
	}
	last := c.Reviews[len(c.Reviews)-1]
	return last.Approve && last.Author != c.Author
}

// Load reads the policy that head identifies.
func (r *Registry) Load(ctx context.Context, head *sycapb.Head) (*Policy, error) {
	c, _, err := r.change(ctx, head.ChangeId)
	if err != nil {
		return nil, err
	}
	if digest := action.Digest([]byte(c.Text)); digest != head.Digest {
		return nil, &RejectedError{Problem: fmt.Sprintf("change %s has digest %x, the head names %x", c.Id, digest, head.Digest)}
	}
	return ParseAccepted(head.Revision, c.Id, c.Text)
}

// ParseAccepted parses the policy of an accepted change.
func ParseAccepted(revision uint64, id, text string) (*Policy, error) {
	p, err := Parse(text)
	if err != nil {
		return nil, err
	}
	p.Revision = revision
	p.ChangeID = id
	return p, nil
}

// History returns the head and at most limit accepted changes, newest first; a
// limit of 0 or less means maxHistory.
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
