package httpc

import (
	"net/netip"
	"time"
)

// StrayPlace is where bytes that belong to no request were found.
type StrayPlace string

const (
	// StrayIdle means that the bytes arrived on an idle connection.
	StrayIdle StrayPlace = "idle"
	// StrayBefore means that a response to another request arrived where a response was due.
	StrayBefore StrayPlace = "before"
	// StrayInside means that a header or a body is that of more than one response.
	StrayInside StrayPlace = "inside"
	// StrayStatus means that they have the form of a response, but a status that HTTP does not have.
	StrayStatus StrayPlace = "status"
	// StrayAfter means that the bytes followed a response.
	StrayAfter StrayPlace = "after"
)

// Stray describes bytes from a server that belong to no request. A faulty server sends them after a
// complete response, at once or when the connection carries another request.
type Stray struct {
	Addr  netip.AddrPort
	Place StrayPlace
	// Carried is the number of requests that the connection carried before.
	Carried int
}

const (
	// keepInterval is the time between two connections to an unsound server that are kept to test it.
	keepInterval = time.Second
	// strayWeight is the weight of one use of a connection in unsoundServer.strayRatio.
	strayWeight = 0.05
	// maxStrayRatio is the ratio of uses that meet stray bytes above which idempotent requests avoid used
	// connections, too. Each such use costs a retry; this is half of the usual ratio of retries.
	maxStrayRatio = 0.1
)

// unsoundServer is a server that has sent bytes that belong to no request.
type unsoundServer struct {
	// strayAt is when it last did so, keptAt when a connection to it was last kept to test it.
	strayAt, keptAt time.Time
	// strayRatio is the moving average of the ratio of uses of connections, after their first one, that
	// met such bytes.
	strayRatio float64
}

// avoidsUsed reports whether idempotent requests avoid connections that have carried requests.
func (u *unsoundServer) avoidsUsed() bool {
	return u.strayRatio > maxStrayRatio
}

// recordStray records that the server of a connection sent bytes that belong to no request. If it does so
// often, its idle connections are closed, since more of them may arrive there.
func (p *Pool) recordStray(c *conn, place StrayPlace) {
	now := p.cfg.Now()
	p.mu.Lock()
	u := p.unsound[c.addr]
	if u == nil {
		u = &unsoundServer{keptAt: now}
		p.unsound[c.addr] = u
	}
	u.strayAt = now
	u.strayRatio += strayWeight * (1 - u.strayRatio)
	avoidsUsed := u.avoidsUsed()
	p.mu.Unlock()
	if avoidsUsed && p.cfg.UnsoundTime > 0 {
		p.CloseIdle(c.addr)
	}
	if p.cfg.OnStray != nil {
		p.cfg.OnStray(Stray{Addr: c.addr, Place: place, Carried: c.carried})
	}
}

// isUnsound reports whether the server at addr has sent bytes lately that belong to no request. More of
// them may arrive on connections that have carried requests, and on those alone.
func (p *Pool) isUnsound(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unsoundAt(addr, p.cfg.Now()) != nil
}

// unsoundAt returns the state of an unsound server, nil if it is sound. The caller must hold p.mu.
func (p *Pool) unsoundAt(addr netip.AddrPort, now time.Time) *unsoundServer {
	u := p.unsound[addr]
	if u != nil && now.Sub(u.strayAt) >= p.cfg.UnsoundTime {
		delete(p.unsound, addr)
		return nil
	}
	return u
}

// mayKeep reports whether a connection may carry a further request after one without stray bytes. While
// its server is unsound, those of requests that must run once are closed, as the next such request
// needs another one. One is kept each keepInterval nevertheless, to test whether the server is sound again.
func (p *Pool) mayKeep(c *conn, once bool) bool {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.unsoundAt(c.addr, now)
	if u == nil {
		return true
	}
	if c.carried > 0 {
		u.strayRatio -= strayWeight * u.strayRatio
	}
	if !once && !u.avoidsUsed() {
		return true
	}
	if now.Sub(u.keptAt) < keepInterval {
		return false
	}
	u.keptAt = now
	return true
}

// isClean reports whether an idle connection is open and has nothing to read. Bytes that arrive
// without a pending request can't be matched to any request.
func (p *Pool) isClean(c *conn) bool {
	found := c.check()
	if found == peekBytes {
		p.recordStray(c, StrayIdle)
	}
	return found == peekNothing
}
