// Package store is the client of the platform's key-value service.
//
// The platform offers compare-and-swap, leases and watches; it can be slow or
// down for long, and the answer to a write can be lost after the write took
// effect. Every failure is an *UnavailableError, which tells whether the
// write may have taken effect, so that the caller reads back before it does
// anything else.
//
//	c := store.New(httpClient, netip.MustParseAddrPort("127.0.0.1:7000"))
//	item, err := c.Get(ctx, "policy/head")
//	put, err := c.Put(ctx, "policy/head", value, item.Version, 0)
//	if !put.Swapped {
//		// put.Item is what stands there now
//	}
package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/sycapb"
)

// callTimeout bounds one call unless the context ends it earlier.
const callTimeout = 2 * time.Second

// UnavailableError reports a call that got no answer from the platform.
type UnavailableError struct {
	Op, Key string
	// Written is true for a write that may have taken effect.
	Written bool
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s %q: %v", e.Op, e.Key, e.Err)
}

func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// Counts tells how many calls a client made.
type Counts struct {
	Reads, Writes, Watches int64
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	rpc                    sycapb.StoreClient
	reads, writes, watches atomic.Int64
}

// New returns a client for the platform at addr.
func New(h *http.Client, addr netip.AddrPort) *Client {
	return &Client{rpc: sycapb.NewStoreClient(h, "http://"+addr.String())}
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load()}
}

// Get reads a key. A key that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (*sycapb.Item, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rpc.Get(ctx, connect.NewRequest(&sycapb.GetRequest{Key: key}))
	if err != nil {
		return nil, &UnavailableError{Op: "get", Key: key, Err: err}
	}
	return r.Msg, nil
}

// Put writes a key if its version is base.
func (c *Client) Put(ctx context.Context, key string, value []byte, base, lease uint64) (*sycapb.PutReply, error) {
	c.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rpc.Put(ctx, connect.NewRequest(&sycapb.PutRequest{Key: key, Value: value, Base: base, Lease: lease}))
	if err != nil {
		return nil, &UnavailableError{Op: "put", Key: key, Written: true, Err: err}
	}
	return r.Msg, nil
}

// List reads all keys with a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]*sycapb.Item, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rpc.List(ctx, connect.NewRequest(&sycapb.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, &UnavailableError{Op: "list", Key: prefix, Err: err}
	}
	return r.Msg.Items, nil
}

// Watch calls changed with the item at once and at every change until ctx
// ends or the platform breaks off.
func (c *Client) Watch(ctx context.Context, key string, changed func(*sycapb.Item)) error {
	c.watches.Add(1)
	s, err := c.rpc.Watch(ctx, connect.NewRequest(&sycapb.WatchRequest{Key: key}))
	if err != nil {
		return &UnavailableError{Op: "watch", Key: key, Err: err}
	}
	for s.Receive() {
		changed(s.Msg())
	}
	err = s.Err()
	if err == nil {
		err = errors.New("the stream ended")
	}
	return errors.Join(&UnavailableError{Op: "watch", Key: key, Err: err}, s.Close())
}

// Grant opens a lease that lives for ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rpc.Grant(ctx, connect.NewRequest(&sycapb.GrantRequest{TtlMs: ttl.Milliseconds()}))
	if err != nil {
		return 0, &UnavailableError{Op: "grant", Err: err}
	}
	return r.Msg.Lease, nil
}

// Renew extends a lease and reports whether it was still alive.
func (c *Client) Renew(ctx context.Context, lease uint64) (bool, error) {
	c.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rpc.Renew(ctx, connect.NewRequest(&sycapb.RenewRequest{Lease: lease}))
	if err != nil {
		return false, &UnavailableError{Op: "renew", Err: err}
	}
	return r.Msg.Alive, nil
}
