package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// zoneRelay stands for the links between the zones. Each daemon has addresses at
// the relay, which it tells the other daemons. The source address of a packet or
// a connection shows the zone of its sender. Requests between daemons come from
// an address that all share; in the cases here all of them begin in one zone.
type zoneRelay struct {
	w *world
	// requestZone is the zone in which all requests begin.
	requestZone string
	// zones maps the address of a daemon to its zone.
	zones map[string]string

	mu    sync.Mutex
	cut   string
	conns map[net.Conn][2]string
}

func newRelay(w *world, requestZone string) *zoneRelay {
	return &zoneRelay{w: w, requestZone: requestZone, zones: map[string]string{}, conns: map[net.Conn][2]string{}}
}

// separates reports whether the cut is between two zones; r.mu is held.
func (r *zoneRelay) separates(a, b string) bool {
	return r.cut != "" && a != b && (a == r.cut || b == r.cut)
}

func (r *zoneRelay) senderZone(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	if zone, ok := r.zones[host]; ok {
		return zone
	}
	return r.requestZone
}

func (r *zoneRelay) isCut(from net.Addr, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.separates(r.senderZone(from), to)
}

// setCut partitions a zone from the others; an empty name ends the cut.
func (r *zoneRelay) setCut(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = zone
	r.w.logf("zone partitioned from the others: %q", zone)
	for c, ends := range r.conns {
		if r.separates(ends[0], ends[1]) {
			_ = c.Close()
		}
	}
}

// add puts the relay in front of a daemon's ports for other daemons.
func (r *zoneRelay) add(m *machine, ip string) error {
	_, port, err := net.SplitHostPort(m.peer)
	if err != nil {
		return err
	}
	m.peer = net.JoinHostPort(ip, port)
	r.zones[ip] = m.zone
	a, err := r.w.freeAddrs(2)
	if err != nil {
		return err
	}
	m.peerRelay, m.frontRelay = a[0], a[1]
	if err := r.relayTCP(m.peerRelay, m.peer, m.zone); err != nil {
		return err
	}
	if err := r.relayUDP(m.peerRelay, m.peer, m.zone); err != nil {
		return err
	}
	return r.relayTCP(m.frontRelay, m.inbound, m.zone)
}

func (r *zoneRelay) relayTCP(listen, target, zone string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relayConn(c, target, zone)
		}
	}()
	return nil
}

func (r *zoneRelay) relayConn(c net.Conn, target, zone string) {
	defer c.Close()
	if r.isCut(c.RemoteAddr(), zone) {
		// Nothing comes back over a cut link.
		time.Sleep(time.Second)
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	defer s.Close()
	ends := [2]string{r.senderZone(c.RemoteAddr()), zone}
	r.track(ends, c, s)
	defer r.forget(c, s)
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.Close()
		_ = c.Close()
	}()
	_, _ = io.Copy(c, s)
}

// track records the zones at both ends of connections.
func (r *zoneRelay) track(ends [2]string, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = ends
	}
}

func (r *zoneRelay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

func (r *zoneRelay) relayUDP(listen, target, zone string) error {
	p, err := net.ListenPacket("udp", listen)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, from, err := p.ReadFrom(b)
			if err != nil {
				return
			}
			if !r.isCut(from, zone) {
				_, _ = p.WriteTo(b[:n], to)
			}
		}
	}()
	return nil
}
