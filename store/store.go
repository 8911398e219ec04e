// Package store is the client of the platform's key-value service.
//
// The platform offers compare-and-swap, leases and watches; it can be slow or
// down for long, and the answer to a write can be lost after the write took
// effect. A failure is an *UnavailableError, which tells whether the write
// may have taken effect, so that the caller reads back before it does
// anything else. How calls look on the wire is up to the Transport.
//
//	c := store.New(transport, store.Rates{Reads: 100, Writes: 20})
//	item, err := c.Get(ctx, "policy/head")
//	put, err := c.Put(ctx, "policy/head", value, item.Revision, 0)
//	if !put.Swapped {
//		// put.Item is what stands there now
//	}
package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// callTimeout bounds one call unless the context ends it earlier.
	callTimeout = 2 * time.Second
	// watchTimeout is how long a watch waits for a change; a watch that was cut
	// without a word is noticed after watchTimeout and watchGracePeriod, within the 2 s and
	// the stretch in which a new configuration must be in force.
	watchTimeout = 2 * time.Second
	// watchGracePeriod is how long after watchTimeout the answer of a watch may come.
	watchGracePeriod = time.Second
	// maxPages bounds a list, in pages.
	maxPages = 50
	// burstWindow is the time for which the rate of calls may be used at once.
	burstWindow = 2 * time.Second
)

// UnavailableError reports a call that got no usable answer from the platform.
type UnavailableError struct {
	Op, Key string
	// MaybeWritten is true for a write that may have taken effect.
	MaybeWritten bool
	Err          error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s %q: %v", e.Op, e.Key, e.Err)
}

func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// RejectedError reports a call that the platform turned away; nothing was done.
type RejectedError struct {
	// Status is the HTTP status, 0 when the call was not sent.
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("refused with status %d, nothing was done", e.Status)
}

// CompactedError reports that the history which a watch asked for is lost.
type CompactedError struct {
	After uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("the history after revision %d is lost", e.After)
}

// RateLimits bounds the calls per second of one client.
type RateLimits struct {
	Reads, Writes float64
}

// Counts tells how many calls a client made.
type Counts struct {
	Reads, Writes, Watches int64
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	transport              Transport
	readLimit, writeLimit  *rate.Limiter
	reads, writes, watches atomic.Int64
}

// New returns a client that calls through t and stays within the rates.
func New(t Transport, r RateLimits) *Client {
	return &Client{transport: t, readLimit: newLimiter(r.Reads), writeLimit: newLimiter(r.Writes)}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstWindow.Seconds())))
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load()}
}

// read makes one read call within the rate and the time of a call.
func read[T any](ctx context.Context, c *Client, op, key string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.readLimit.Wait(ctx); err != nil {
		return zero, &UnavailableError{Op: op, Key: key, Err: err}
	}
	c.reads.Add(1)
	out, err := call(ctx)
	if err != nil {
		return zero, &UnavailableError{Op: op, Key: key, Err: err}
	}
	return out, nil
}

// write makes one write call within the rate and the time of a call.
func write[T any](ctx context.Context, c *Client, op, key string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.writeLimit.Wait(ctx); err != nil {
		return zero, &UnavailableError{Op: op, Key: key, Err: err}
	}
	c.writes.Add(1)
	out, err := call(ctx)
	if err != nil {
		var refused *RejectedError
		return zero, &UnavailableError{Op: op, Key: key, MaybeWritten: !errors.As(err, &refused), Err: err}
	}
	return out, nil
}

// Get reads a key. A key that does not exist has revision 0.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	return read(ctx, c, "get", key, func(ctx context.Context) (Item, error) { return c.transport.Get(ctx, key) })
}

// Put writes a key if its revision is base.
func (c *Client) Put(ctx context.Context, key string, value []byte, baseRevision, lease uint64) (WriteResult, error) {
	change := ConditionalWrite{Key: key, Value: value, BaseRevision: baseRevision, Lease: lease}
	return write(ctx, c, "put", key, func(ctx context.Context) (WriteResult, error) { return c.transport.Write(ctx, change) })
}

// List reads all keys with a prefix, page by page; the pages are no snapshot. A
// stale list may be seconds old and costs the platform a tenth.
func (c *Client) List(ctx context.Context, prefix string, stale bool) ([]Item, error) {
	var list []Item
	after := ""
	for range maxPages {
		page, err := read(ctx, c, "list", prefix, func(ctx context.Context) (Page, error) {
			return c.transport.Range(ctx, prefix, after, stale)
		})
		if err != nil {
			return nil, err
		}
		list = append(list, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return list, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return list, nil
}

// Watch calls changed with the item at once and at every change that it
// learns of, until ctx ends, a call fails, or more reports false, which is asked
// before each call. Changes in quick succession may be reported as one.
func (c *Client) Watch(ctx context.Context, key string, keepWatching func() bool, onChange func(Item)) error {
	item, err := c.Get(ctx, key)
	if err != nil {
		return err
	}
	onChange(item)
	after := item.Revision
	for ctx.Err() == nil && keepWatching() {
		events, next, err := c.watchOnce(ctx, key, after)
		var gone *CompactedError
		if errors.As(err, &gone) {
			return c.Watch(ctx, key, keepWatching, onChange)
		}
		if err != nil {
			return err
		}
		for i := range events {
			if events[i].Key == key && !events[i].Deleted {
				onChange(events[i].Item)
			}
		}
		after = max(after, next)
	}
	return ctx.Err()
}

// watchOnce makes one watch call.
func (c *Client) watchOnce(ctx context.Context, key string, after uint64) ([]Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchGracePeriod)
	defer cancel()
	if err := c.readLimit.Wait(ctx); err != nil {
		return nil, 0, &UnavailableError{Op: "watch", Key: key, Err: err}
	}
	c.watches.Add(1)
	events, next, err := c.transport.Watch(ctx, key, after, watchTimeout)
	if err != nil {
		return nil, 0, &UnavailableError{Op: "watch", Key: key, Err: err}
	}
	return events, next, nil
}

// Grant opens a lease that lives for ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	return write(ctx, c, "grant", "", func(ctx context.Context) (uint64, error) { return c.transport.Grant(ctx, ttl) })
}

// Renew extends a lease and reports whether it was still alive.
func (c *Client) Renew(ctx context.Context, lease uint64) (bool, error) {
	return read(ctx, c, "renew", "", func(ctx context.Context) (bool, error) { return c.transport.Renew(ctx, lease) })
}
