// Package store is the client of the platform's key-value service.
//
// The platform provides compare-and-swap, leases and watches. It can be slow or
// down for a long time, and the response to a write can be lost after the write
// took effect. A failure is an *UnavailableError, which reports whether a write
// may have taken effect; the caller must then read the key back first. The
// Transport defines the wire format.
//
//	c := store.New(transport, store.RateLimits{Reads: 100, Writes: 20})
//	item, err := c.Get(ctx, "policy/head")
//	put, err := c.Put(ctx, "policy/head", value, item.Revision, store.Lease{})
//	if !put.Swapped {
//		// put.Item is the current item of the key
//	}
package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// callTimeout is the timeout of one call.
	callTimeout = 2 * time.Second
	// watchGracePeriod is how long after its wait the response of a watch may arrive.
	watchGracePeriod = time.Second
	// minWaitRatio is the shortest wait of a watch call, as a ratio of Watcher.Interval.
	minWaitRatio = 0.25
	// maxPages is the maximum number of pages of a list.
	maxPages = 50
	// burstWindow sizes the token buckets: a burst may use up the calls of this time.
	burstWindow = 2 * time.Second
)

// UnavailableError reports a call that got no valid response from the platform.
type UnavailableError struct {
	Op, Key string
	// MaybeWritten reports whether the call is a write that may have taken effect.
	MaybeWritten bool
	Err          error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s %q: %v", e.Op, e.Key, e.Err)
}

func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// RejectedError reports a call that the platform rejected without any effect.
type RejectedError struct {
	// Status is the HTTP status; 0 if the call was not sent.
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected with status %d, without effect", e.Status)
}

// RestoredError reports that a revision or a lease is of a history that the store
// no longer has, since it was restored from a copy.
type RestoredError struct {
	// Era is that of the revision or lease, Current the store's.
	Era, Current uint64
	// Written reports that the store executed a write whose condition named such a revision.
	Written bool
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store was restored from a copy: revision of era %d, store in era %d", e.Era, e.Current)
}

// CompactedError reports that the store no longer has the changes that a watch
// asked for.
type CompactedError struct {
	After Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are compacted", e.After.Number)
}

// RateLimits are the maximum calls per second of one client.
type RateLimits struct {
	Reads, Writes float64
}

// Counts are the numbers of calls that a client made.
type Counts struct {
	Reads, Writes, Watches int64
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	// OnRestored is called when the responses show that the store was restored from a copy, with the
	// eras before and after. It may be nil, and is set before the first call.
	OnRestored func(from, to uint64)

	// nextEra is the number after the latest known era, 0 if none is known. eraMu serializes its changes
	// and guards the restores that are known.
	nextEra                atomic.Uint64
	eraMu                  sync.Mutex
	observed, stated       restore
	transport              Transport
	readLimit, writeLimit  *rate.Limiter
	reads, writes, watches atomic.Int64
}

// New returns a client that sends its calls through t and limits their rates to r.
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

// Era returns the latest era that a response had, and false if there was none.
func (c *Client) Era() (uint64, bool) {
	next := c.nextEra.Load()
	return max(next, 1) - 1, next > 0
}

// restore is a restore of the store that began an era. at is the earliest time at which
// the store is known to have been in that era, zero if no restore is known.
type restore struct {
	era uint64
	at  time.Time
}

// SinceRestore returns the time since the latest restore that this client observed or
// another one stated. It returns false if none is known.
func (c *Client) SinceRestore() (time.Duration, bool) {
	c.eraMu.Lock()
	defer c.eraMu.Unlock()
	last := c.observed
	switch {
	case c.stated.at.IsZero() || c.stated.era+1 < c.nextEra.Load():
	case last.at.IsZero() || last.era < c.stated.era || c.stated.at.Before(last.at):
		last = c.stated
	}
	if last.at.IsZero() {
		return 0, false
	}
	return time.Since(last.at), true
}

// StateRestore records that another client knows of a restore that began an era at
// least age ago.
func (c *Client) StateRestore(era uint64, age time.Duration) {
	c.eraMu.Lock()
	defer c.eraMu.Unlock()
	at := time.Now().Add(-age)
	if c.stated.at.IsZero() || era > c.stated.era || era == c.stated.era && at.Before(c.stated.at) {
		c.stated = restore{era: era, at: at}
	}
}

// observe records the era of a response.
func (c *Client) observe(era uint64) {
	if era < c.nextEra.Load() {
		return
	}
	c.eraMu.Lock()
	next := c.nextEra.Load()
	if era >= next {
		c.nextEra.Store(era + 1)
	}
	// The first era that is observed may be that of a store that was never restored.
	restored := next > 0 && era >= next
	if restored {
		c.observed = restore{era: era, at: time.Now()}
	}
	c.eraMu.Unlock()
	if restored && c.OnRestored != nil {
		c.OnRestored(next-1, era)
	}
}

// read makes one read call, subject to the read rate and the call timeout.
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

// write makes one write call, subject to the write rate and the call timeout.
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
		return zero, &UnavailableError{Op: op, Key: key, MaybeWritten: !hadNoEffect(err), Err: err}
	}
	return out, nil
}

// hadNoEffect reports whether the error of a write shows that nothing was written.
func hadNoEffect(err error) bool {
	var rejected *RejectedError
	var restored *RestoredError
	return errors.As(err, &rejected) || errors.As(err, &restored) && !restored.Written
}

// Get reads a key. The item has revision 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	item, err := read(ctx, c, "get", key, func(ctx context.Context) (Item, error) { return c.transport.Get(ctx, key) })
	if err == nil {
		c.observe(item.Revision.Era)
	}
	return item, err
}

// Put writes a key if its revision is base. The error wraps a *RestoredError if base
// or lease is of an earlier era: another item may have that revision now.
func (c *Client) Put(ctx context.Context, key string, value []byte, base Revision, lease Lease) (WriteResult, error) {
	change := ConditionalWrite{Key: key, Value: value, BaseRevision: base, Lease: lease}
	return write(ctx, c, "put", key, func(ctx context.Context) (WriteResult, error) {
		known, _ := c.Era()
		if err := change.checkEra(known); err != nil {
			return WriteResult{}, err
		}
		result, err := c.transport.Write(ctx, change)
		if err != nil {
			return WriteResult{}, err
		}
		era := result.Item.Revision.Era
		c.observe(era)
		if err := change.checkEra(era); err != nil && result.Swapped {
			err.Written = true
			return WriteResult{}, err
		}
		return result, nil
	})
}

// checkEra returns an error if c names a revision or a lease of an earlier era.
func (c *ConditionalWrite) checkEra(current uint64) *RestoredError {
	switch {
	case c.BaseRevision.Number != 0 && c.BaseRevision.Era < current:
		return &RestoredError{Era: c.BaseRevision.Era, Current: current}
	case c.Lease.ID != 0 && c.Lease.Era < current:
		return &RestoredError{Era: c.Lease.Era, Current: current}
	}
	return nil
}

// List reads all keys with a prefix, page by page; the pages don't form a
// consistent snapshot, but are of one era. A stale list may be seconds old and
// costs the platform a tenth of the load.
func (c *Client) List(ctx context.Context, prefix string, stale bool) ([]Item, error) {
	var list []Item
	var era uint64
	after := ""
	for n := range maxPages {
		page, err := read(ctx, c, "list", prefix, func(ctx context.Context) (Page, error) {
			return c.transport.Range(ctx, prefix, after, stale)
		})
		if err != nil {
			return nil, err
		}
		c.observe(page.Revision.Era)
		if n > 0 && page.Revision.Era != era {
			// The pages before are of a history that the store no longer has.
			list, after, era = nil, "", page.Revision.Era
			continue
		}
		list = append(list, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return list, nil
		}
		after, era = page.Items[len(page.Items)-1].Key, page.Revision.Era
	}
	return list, nil
}

// CloseIdle closes the idle connections to the platform, which may have gone
// silent.
func (c *Client) CloseIdle() {
	if c.transport.CloseIdle != nil {
		c.transport.CloseIdle()
	}
}

// Watcher observes one key. The times passed to its functions are times at which
// the last item was the newest one.
type Watcher struct {
	Key string
	// Now returns the time of a clock that also runs while the machine is suspended.
	Now func() time.Time
	// Interval returns the longest time between two of these times while the platform responds. It is
	// called before each watch call.
	Interval func() time.Duration
	// Keep is called before each watch call; the watch ends if it returns false.
	Keep func() bool
	// OnItem is called with the current item and then with the item after each observed change. It
	// may be called once for several changes in quick succession.
	OnItem func(item Item, at time.Time)
	// OnUnchanged is called after a watch call without a change.
	OnUnchanged func(at time.Time)
}

// Watch observes the key of w until ctx ends, a call fails, or Keep returns false.
func (c *Client) Watch(ctx context.Context, w Watcher) error {
	for {
		current := w.Now()
		item, err := c.Get(ctx, w.Key)
		if err != nil {
			return err
		}
		w.OnItem(item, current)
		complete, err := c.watchFrom(ctx, w, latest(item.Revision, item.StoreRevision), current)
		if complete || err != nil {
			return err
		}
		if item.StoreRevision.Number == 0 {
			// The changes after the item's revision may be compacted, so the next watch may fail too.
			sleep(ctx, scale(w.Interval(), minWaitRatio))
		}
	}
}

// watchFrom observes changes after a revision. The last item was the newest one at
// the time current. watchFrom returns false if it may have missed changes.
func (c *Client) watchFrom(ctx context.Context, w Watcher, after Revision, current time.Time) (complete bool, err error) {
	for ctx.Err() == nil && w.Keep() {
		start := w.Now()
		interval := w.Interval()
		wait := max(scale(interval, minWaitRatio), interval-start.Sub(current)).Round(time.Millisecond)
		events, next, err := c.watchOnce(ctx, w.Key, after, wait)
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if next.Era != after.Era {
			// The numbers of after and next are of two histories.
			return false, nil
		}
		current = start
		if !w.report(events, start) {
			if next.Number > after.Number {
				// The change is of another key, or the watch has skipped it.
				return false, nil
			}
			if w.Now().Sub(start) >= wait {
				// The platform has waited for a change.
				current = start.Add(wait)
			}
			w.OnUnchanged(current)
		}
		after = latest(after, next)
	}
	return true, ctx.Err()
}

// latest returns the revision with the higher number.
func latest(a, b Revision) Revision {
	if a.Number > b.Number {
		return a
	}
	return b
}

func scale(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d))
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// report calls OnItem with the changes of the key and reports whether there are
// any.
func (w *Watcher) report(events []Event, at time.Time) bool {
	changed := false
	for i := range events {
		if events[i].Key == w.Key && !events[i].Deleted {
			w.OnItem(events[i].Item, at)
			changed = true
		}
	}
	return changed
}

// watchOnce makes one watch call.
func (c *Client) watchOnce(ctx context.Context, key string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGracePeriod)
	defer cancel()
	if err := c.readLimit.Wait(ctx); err != nil {
		return nil, Revision{}, &UnavailableError{Op: "watch", Key: key, Err: err}
	}
	c.watches.Add(1)
	events, next, err := c.transport.Watch(ctx, key, after, wait)
	if err != nil {
		return nil, Revision{}, &UnavailableError{Op: "watch", Key: key, Err: err}
	}
	c.observe(next.Era)
	return events, next, nil
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := write(ctx, c, "grant", "", func(ctx context.Context) (Lease, error) { return c.transport.Grant(ctx, ttl) })
	if err == nil {
		c.observe(lease.Era)
	}
	return lease, err
}

// Renew extends a lease and reports whether it still exists. A lease of an earlier
// era does not, even if another client has one with its ID.
func (c *Client) Renew(ctx context.Context, lease Lease) (bool, error) {
	if c.isLost(lease.Era) {
		return false, nil
	}
	return read(ctx, c, "renew", "", func(ctx context.Context) (bool, error) {
		alive, era, err := c.transport.Renew(ctx, lease.ID)
		if err == nil {
			c.observe(era)
		}
		return alive && era == lease.Era, err
	})
}

// isLost reports whether the store was restored since an era.
func (c *Client) isLost(era uint64) bool {
	return era+1 < c.nextEra.Load()
}
