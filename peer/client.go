// Package peer implements calls between daemons over drpc.
//
// drpc runs one call at a time on a connection, so a Client keeps a bounded
// pool of idle connections for each peer. A connection whose call was canceled
// or failed is closed and never reused, so a late response cannot reach another
// call. The type of an error shows whether the call may have reached the peer.
//
//	c := peer.New(peer.Config{MaxIdleConns: 64, IdleTimeout: time.Minute})
//	reply, err := c.Forward(ctx, addr, call)
//	var dial *peer.DialError
//	if errors.As(err, &dial) {
//		// nothing was sent
//	}
package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"sycamorespread.dev/sycapb"
)

// dialTimeout is the limit on the time to connect.
const dialTimeout = 500 * time.Millisecond

// DialError reports a failure to connect to a peer. Nothing was sent.
type DialError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to daemon %s: %v", e.Addr, e.Err)
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// NoResponseError reports a call without a response. The peer may have served it.
type NoResponseError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("answer of daemon %s lost: %v", e.Addr, e.Err)
}

func (e *NoResponseError) Unwrap() error {
	return e.Err
}

// Config bounds the pool.
type Config struct {
	// LocalAddr is the source address of connections. The zero value lets the system choose it.
	LocalAddr netip.Addr
	// MaxIdleConns is the maximum number of idle connections kept for one peer.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	local netip.Addr
	pool  *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	dials atomic.Int64
}

// New returns a client with an empty pool.
func New(cfg Config) *Client {
	opts := drpcpool.Options{Expiration: cfg.IdleTimeout, KeyCapacity: cfg.MaxIdleConns}
	return &Client{local: cfg.LocalAddr, pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](opts)}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// Dials returns the number of connections that were attempted.
func (c *Client) Dials() int64 {
	return c.dials.Load()
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	if conn, ok := c.pool.Take(addr); ok {
		return conn, nil
	}
	return c.dial(ctx, addr)
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	c.dials.Add(1)
	d := net.Dialer{Timeout: dialTimeout}
	if c.local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.local, 0))
	}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	return drpcconn.New(raw), nil
}

// doCall runs one call on a connection of its own. It returns the connection to
// the pool only if the call succeeded.
func doCall[T any](ctx context.Context, c *Client, addr netip.AddrPort, call func(sycapb.DRPCPeerClient) (T, error)) (T, error) {
	var zero T
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return zero, err
	}
	out, err := call(sycapb.NewDRPCPeerClient(conn))
	if err != nil {
		_ = conn.Close()
		return zero, &NoResponseError{Addr: addr, Err: err}
	}
	c.pool.Put(addr, conn)
	return out, nil
}

// callOnce runs one call on a new connection. It is for rare calls that must not wait until an idle
// connection that has gone silent times out.
func callOnce[T any](ctx context.Context, c *Client, addr netip.AddrPort, call func(sycapb.DRPCPeerClient) (T, error)) (T, error) {
	var zero T
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return zero, err
	}
	// The reply is complete; an error here says nothing about it.
	defer func() { _ = conn.Close() }()
	out, err := call(sycapb.NewDRPCPeerClient(conn))
	if err != nil {
		return zero, &NoResponseError{Addr: addr, Err: err}
	}
	return out, nil
}

// Forward forwards one attempt of a call to the daemon beside a backend server.
func (c *Client) Forward(ctx context.Context, addr netip.AddrPort, call *sycapb.Call) (*sycapb.Reply, error) {
	return doCall(ctx, c, addr, func(p sycapb.DRPCPeerClient) (*sycapb.Reply, error) {
		return p.Forward(ctx, call)
	})
}

// HomeTicket opens a ticket at the daemon that is to own it.
func (c *Client) HomeTicket(ctx context.Context, addr netip.AddrPort, req *sycapb.TicketRequest) (*sycapb.TicketReply, error) {
	return doCall(ctx, c, addr, func(p sycapb.DRPCPeerClient) (*sycapb.TicketReply, error) {
		return p.HomeTicket(ctx, req)
	})
}

// Sync exchanges membership entries with a peer.
func (c *Client) Sync(ctx context.Context, addr netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	return callOnce(ctx, c, addr, func(p sycapb.DRPCPeerClient) (*sycapb.SyncReply, error) {
		return p.Sync(ctx, req)
	})
}

// Pull fetches the policy in force at a peer.
func (c *Client) Pull(ctx context.Context, addr netip.AddrPort, req *sycapb.PullRequest) (*sycapb.PullReply, error) {
	return callOnce(ctx, c, addr, func(p sycapb.DRPCPeerClient) (*sycapb.PullReply, error) {
		return p.Pull(ctx, req)
	})
}

// LocalBurn fetches the burn counts of a peer.
func (c *Client) LocalBurn(ctx context.Context, addr netip.AddrPort, req *sycapb.BurnRequest) (*sycapb.BurnReply, error) {
	return doCall(ctx, c, addr, func(p sycapb.DRPCPeerClient) (*sycapb.BurnReply, error) {
		return p.LocalBurn(ctx, req)
	})
}
