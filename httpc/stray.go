package httpc

import "net/netip"

// StrayPlace is where bytes that belong to no request were found.
type StrayPlace string

const (
	// StrayIdle means that the bytes arrived on an idle connection.
	StrayIdle StrayPlace = "idle"
	// StrayBefore means that a response to another request arrived where a response was due.
	StrayBefore StrayPlace = "before"
	// StrayInside means that a header or a body is that of more than one response.
	StrayInside StrayPlace = "inside"
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

// recordStray records that the server of a connection sent bytes that belong to no request.
func (p *Pool) recordStray(c *conn, place StrayPlace) {
	p.mu.Lock()
	p.strayAt[c.addr] = p.cfg.Now()
	p.mu.Unlock()
	if p.cfg.OnStray != nil {
		p.cfg.OnStray(Stray{Addr: c.addr, Place: place, Carried: c.carried})
	}
}

// isUnsound reports whether the server at addr has sent bytes lately that belong to no request. More of
// them may arrive on connections that have carried requests, and on those alone.
func (p *Pool) isUnsound(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.strayAt[addr]
	return ok && p.cfg.Now().Sub(at) < p.cfg.UnsoundTime
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
