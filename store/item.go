package store

import (
	"context"
	"time"
)

// Revision is a place in the history of the store. A store that was restored from
// a copy gives out the numbers after that copy again, in a later era.
type Revision struct {
	Era uint64
	// Number increases with each change of an era. Number 0 is before the first change: a key with
	// this revision does not exist.
	Number uint64
}

// Lease identifies a lease. Like a revision, its ID is unique within an era only.
type Lease struct {
	Era uint64
	// ID is 0 for no lease.
	ID uint64
}

// Item is a key with its stored value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change. Its era is set even if the key does not exist.
	Revision Revision
	// Lease is the lease with which the item expires, if any.
	Lease Lease
	// StoreRevision is the revision of the store when the item was read by its key; its number is 0
	// if it was not.
	StoreRevision Revision
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
	Revision Revision
}

// ConditionalWrite is a compare-and-swap write of one key.
type ConditionalWrite struct {
	// Key and Value are written if Key still has the revision BaseRevision; the number 0 means that
	// the key must not exist.
	Key          string
	Value        []byte
	BaseRevision Revision
	// Lease is the lease with which the item is to expire, if any.
	Lease Lease
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

// Transport sends single calls to the platform. All revisions and leases that it
// returns have the era of the response. A *RejectedError from any of its
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
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Write writes a value if its condition holds.
	Write func(ctx context.Context, c ConditionalWrite) (WriteResult, error)
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease with an ID, of the present era, and returns that era. alive is false if
	// there is no such lease.
	Renew func(ctx context.Context, id uint64) (alive bool, era uint64, err error)
	// CloseIdle closes the idle connections, which may have gone silent. It may be nil.
	CloseIdle func()
}
