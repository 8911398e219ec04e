// Package httpc is an HTTP/1.1 client that accounts for every byte it sends.
//
// A Pool sends one request at a time on a connection, and sends it once: a
// request that may have reached the server is never sent again behind the
// caller's back. Errors tell apart what was not sent (*DialError) from what
// may have run (*NoResponseError). A connection is kept only after a whole answer
// with nothing behind it.
//
//	p := httpc.New(httpc.Config{DialTimeout: time.Second, Idle: 8 * time.Second, Now: time.Now})
//	resp, err := p.Do(ctx, addr, &httpc.Request{Method: "GET", Target: "/a/b?c", Host: "example"})
//	if err != nil {
//		return err
//	}
//	defer resp.Close()
package httpc

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Config holds the settings of a Pool.
type Config struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept unless the server says less.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept for one address.
	MaxIdle int
	// CoreIdleConns, when above 0, is the number of idle connections to one address that are kept for Idle; those beyond it,
	// which a burst left behind, are closed after ExcessIdleTimeout.
	CoreIdleConns     int
	ExcessIdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of an answer with the interim answers before it, in bytes; 0 stands for DefaultMaxHeaderBytes.
	MaxHeaderBytes int64
	// Now reads the clock.
	Now func() time.Time
}

// DefaultMaxHeaderBytes is the bound on the head of an answer, in bytes: an answer between daemons
// names the levels of several hundred routes at some 30 bytes each.
const DefaultMaxHeaderBytes = 64 << 10

// DialError reports a server that could not be reached; nothing was sent.
type DialError struct {
	Addr netip.AddrPort
	// Refused tells that the address has no listener.
	Refused bool
	Err     error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Addr, e.Err)
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// NoResponseError reports a request without a usable answer; the server may have
// run it.
type NoResponseError struct {
	Addr netip.AddrPort
	// Reused tells that the connection had served requests before.
	Reused bool
	Err    error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("answer of %s lost: %v", e.Addr, e.Err)
}

func (e *NoResponseError) Unwrap() error {
	return e.Err
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	dials atomic.Int64

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	return &Pool{cfg: cfg, idle: map[netip.AddrPort][]*conn{}}
}

// Dials returns how many connections were made.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// takeIdle returns the connection to addr that was used last, nil when none was
// used within the time fresh.
func (p *Pool) takeIdle(addr netip.AddrPort, maxIdle time.Duration) *conn {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return nil
		}
		idle := p.cfg.Now().Sub(c.idleSince)
		if idle <= min(c.idleTimeout, maxIdle) && c.alive() {
			c.reused = true
			return c
		}
		if idle <= c.idleTimeout && idle > maxIdle && c.alive() {
			// Still good for a request that may be repeated.
			p.putIdle(c)
			return nil
		}
		_ = c.nc.Close()
	}
}

func (p *Pool) popIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	list := append(p.idle[c.addr], c)
	var drop *conn
	if len(list) > p.cfg.MaxIdle {
		drop, list = list[0], list[1:]
	}
	p.idle[c.addr] = list
	p.mu.Unlock()
	if drop != nil {
		_ = drop.nc.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	now := p.cfg.Now()
	var drop []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		// The connections that were used last are at the end.
		spare := len(list) - p.cfg.CoreIdleConns
		for i, c := range list {
			idleTimeout := c.idleTimeout
			if p.cfg.CoreIdleConns > 0 && i < spare {
				idleTimeout = min(idleTimeout, p.cfg.ExcessIdleTimeout)
			}
			if now.Sub(c.idleSince) > idleTimeout {
				drop = append(drop, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		_ = c.nc.Close()
	}
}

// CloseIdle closes the idle connections to addr, as after the server there ended.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// ConnRefused reports whether addr has no listener.
func (p *Pool) ConnRefused(ctx context.Context, addr netip.AddrPort) bool {
	c, err := p.dial(ctx, addr)
	var dial *DialError
	if errors.As(err, &dial) {
		return dial.Refused
	}
	if err == nil {
		c.idleSince = p.cfg.Now()
		p.putIdle(c)
	}
	return false
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[netip.AddrPort][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.nc.Close()
		}
	}
}

// getConn returns a connection for a request.
func (p *Pool) getConn(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*conn, error) {
	if c := p.takeIdle(addr, maxIdle); c != nil {
		return c, nil
	}
	return p.dial(ctx, addr)
}
