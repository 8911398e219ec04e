package store

import (
	"context"
	"time"
)

// Item is a stored value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change; 0 means that the key does not exist.
	Revision uint64
	// Lease is the lease that the item ends with, 0 for none.
	Lease uint64
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted tells that the key is gone; Value and Lease are then empty.
	Deleted bool
}

// Page is a part of a range, in the order of the keys.
type Page struct {
	Items []Item
	// HasMore tells that the range goes on after the last item.
	HasMore bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// ConditionalWrite is one conditional write.
type ConditionalWrite struct {
	// Key and Value are written when Key still has the revision Base; a Base of 0 means that it must not exist.
	Key          string
	Value        []byte
	BaseRevision uint64
	// Lease is the lease that the item is to end with, 0 for none.
	Lease uint64
}

// WriteResult is the answer to a Change.
type WriteResult struct {
	// Swapped tells that the change was made.
	Swapped bool
	// LeaseExpired tells that the lease of the change has ended; nothing was done.
	LeaseExpired bool
	// Item is what stands at the key afterwards.
	Item Item
}

// Transport carries single calls to the platform. Each field returns a
// *RejectedError when nothing was done, and any other error when it cannot
// tell.
type Transport struct {
	// Get reads a key; an item with revision 0 when there is none.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads the page of the keys with the prefix that follows the key after. A stale page may be seconds old.
	Range func(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits for changes after the revision to keys with the prefix and
	// returns the revision to go on from. A *CompactedError means that the history is lost.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Write makes a change when its condition holds.
	Write func(ctx context.Context, c ConditionalWrite) (WriteResult, error)
	// Grant opens a lease.
	Grant func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease; false when it has ended.
	Renew func(ctx context.Context, lease uint64) (bool, error)
}
