package store

import (
	"context"
	"time"
)

// Item is a key with its stored value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change; 0 means that the key does not exist.
	Revision uint64
	// Lease is the lease with which the item expires; 0 for none.
	Lease uint64
	// StoreRevision is the revision of the store when the item was read by its key, 0 if it was not.
	StoreRevision uint64
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted reports whether the key was deleted; Value and Lease are then empty.
	Deleted bool
}

// Page is a part of a range, ordered by key.
type Page struct {
	Items []Item
	// HasMore reports whether the range continues after the last item.
	HasMore bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// ConditionalWrite is a compare-and-swap write of one key.
type ConditionalWrite struct {
	// Key and Value are written if Key still has the revision BaseRevision; 0 means that the
	// key must not exist.
	Key          string
	Value        []byte
	BaseRevision uint64
	// Lease is the lease with which the item is to expire; 0 for none.
	Lease uint64
}

// WriteResult is the outcome of a ConditionalWrite.
type WriteResult struct {
	// Swapped reports whether the condition held and the value was written.
	Swapped bool
	// LeaseExpired reports whether the lease of the write has expired; nothing was written then.
	LeaseExpired bool
	// Item is the item of the key after the call.
	Item Item
}

// Transport sends single calls to the platform. A *RejectedError from any of its
// functions means that the call had no effect; after any other error the call may
// have taken effect.
type Transport struct {
	// Get reads a key. The item has revision 0 if the key does not exist.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads the next page of keys with the prefix, starting behind the key after. A
	// stale page may be seconds old.
	Range func(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits for changes to keys with the prefix after a revision and returns the
	// revision to continue from. A *CompactedError means that the store no longer has the
	// changes after that revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Write writes a value if its condition holds.
	Write func(ctx context.Context, c ConditionalWrite) (WriteResult, error)
	// Grant creates a lease and returns its ID.
	Grant func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease; it returns false if the lease has expired.
	Renew func(ctx context.Context, lease uint64) (bool, error)
	// CloseIdle closes the idle connections, which may have gone silent. It may be nil.
	CloseIdle func()
}
