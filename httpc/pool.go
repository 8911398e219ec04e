// Package httpc is an HTTP/1.1 client without implicit retries.
//
// A Pool sends one request at a time on a connection, and sends it once: it
// never resends a request that may have reached the server. Errors distinguish
// requests that were not sent (*DialError) from those that the server may have
// run (*NoResponseError). A connection is reused only after a complete response
// with no bytes after it.
//
//	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: 8 * time.Second, Now: time.Now})
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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Config configures a Pool.
type Config struct {
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the server announces a timeout.
	IdleTimeout time.Duration
	// MaxIdleConns is the number of idle connections kept for one address.
	MaxIdleConns int
	// CoreIdleConns, if above 0, is the number of idle connections to one address that are kept for
	// IdleTimeout. Connections beyond it, which a burst left open, are closed after ExcessIdleTimeout.
	CoreIdleConns     int
	ExcessIdleTimeout time.Duration
	// MaxHeaderBytes limits the header of a response, including those of interim responses before it;
	// 0 means DefaultMaxHeaderBytes.
	MaxHeaderBytes int64
	// SingleFields lists the header fields, in canonical form, that occur at most once in a response.
	SingleFields []string
	// UnsoundTime is how long a server counts as unsound after it has sent bytes that belong to no
	// request.
	UnsoundTime time.Duration
	// OnStray, if set, is called when a server has sent bytes that belong to no request.
	OnStray func(Stray)
	// Now returns the current time.
	Now func() time.Time
}

// DefaultMaxHeaderBytes is the default limit on a response header. A response between daemons lists
// the levels of several hundred routes at about 30 bytes each.
const DefaultMaxHeaderBytes = 64 << 10

// DialError reports that connecting to a server failed; nothing was sent.
type DialError struct {
	Addr netip.AddrPort
	// Refused is set if the server refused the connection: the address has no listener.
	Refused bool
	Err     error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Addr, e.Err)
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// NoResponseError reports a request without a usable response; the server may have run it.
type NoResponseError struct {
	Addr netip.AddrPort
	// Carried is the number of requests that the connection carried before.
	Carried int
	Err     error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no usable response from %s: %v", e.Addr, e.Err)
}

func (e *NoResponseError) Unwrap() error {
	return e.Err
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	dials atomic.Int64

	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	unsound map[netip.AddrPort]*unsoundServer
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	return &Pool{cfg: cfg, idle: map[netip.AddrPort][]*conn{}, unsound: map[netip.AddrPort]*unsoundServer{}}
}

// Dials returns the number of connections established.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// takeIdle takes the most recently used idle connection to addr on which no request with the key was
// rejected, and returns nil if none was used within maxIdle.
func (p *Pool) takeIdle(addr netip.AddrPort, maxIdle time.Duration, key uint64) *conn {
	for {
		c := p.popIdle(addr, key)
		if c == nil {
			return nil
		}
		idle := p.cfg.Now().Sub(c.idleSince)
		usable := idle <= c.idleTimeout && p.isClean(c)
		if usable && idle <= maxIdle {
			return c
		}
		if usable {
			// The connection can still carry an idempotent request.
			p.putIdle(c)
			return nil
		}
		_ = c.nc.Close()
	}
}

func (p *Pool) popIdle(addr netip.AddrPort, key uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.hasRejected(key) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	list := append(p.idle[c.addr], c)
	var evicted *conn
	if len(list) > p.cfg.MaxIdleConns {
		evicted, list = list[0], list[1:]
	}
	p.idle[c.addr] = list
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.nc.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has expired.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	now := p.cfg.Now()
	var expired []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		// The most recently used connections are at the end.
		excess := len(list) - p.cfg.CoreIdleConns
		for i, c := range list {
			idleTimeout := c.idleTimeout
			if p.cfg.CoreIdleConns > 0 && i < excess {
				idleTimeout = min(idleTimeout, p.cfg.ExcessIdleTimeout)
			}
			if now.Sub(c.idleSince) > idleTimeout {
				expired = append(expired, c)
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
	for _, c := range expired {
		_ = p.isClean(c)
		_ = c.nc.Close()
	}
}

// CloseIdle closes the idle connections to addr. It is used when the server there has stopped.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// ConnRefused reports whether addr refuses connections. A connection established by the
// check is added to the pool.
func (p *Pool) ConnRefused(ctx context.Context, addr netip.AddrPort) bool {
	c, err := p.dial(ctx, addr)
	var dialErr *DialError
	if errors.As(err, &dialErr) {
		return dialErr.Refused
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
