package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerIdleThreshold is how long a peer with pending requests may send no response before it is probed.
	peerIdleThreshold = 150 * time.Millisecond
	// abandonedThreshold is the minimum wait of a request that was abandoned without a response for its
	// peer to be probed.
	abandonedThreshold = 80 * time.Millisecond
	// PeerCheckInterval is the interval between two checks for unresponsive peers.
	PeerCheckInterval = 50 * time.Millisecond
	// reprobeInterval is the interval between two probes of an unresponsive peer.
	reprobeInterval = 250 * time.Millisecond
)

// errUnresponsive cancels the idempotent requests to a peer that neither responds nor answers a
// probe.
var errUnresponsive = errors.New("peer is unresponsive")

// peerMonitor detects peers that stopped responding to requests of this Front. A network
// partition may drop packets without closing connections: requests on open connections then
// wait for responses that never arrive. A peer that sends no response for peerIdleThreshold is
// probed. If the probe fails, the idempotent requests to the peer are canceled, so that they can
// be sent elsewhere, and the peer receives no requests until a probe succeeds.
type peerMonitor struct {
	mu    sync.Mutex
	peers map[string]*monitoredPeer
}

// monitoredPeer is the state of one peer.
type monitoredPeer struct {
	id       string
	lastSeen time.Time
	pending  map[*pendingRequest]struct{}
	// probing is set while a probe is in flight; unresponsive is set if the last probe or connection
	// attempt failed.
	probing, unresponsive bool
	// suspect is set after a request was abandoned without a response.
	suspect  bool
	probedAt time.Time
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	started time.Time
	cancel  context.CancelCauseFunc
	// noRetry is set if the request must not be sent again; it then stays pending at an unresponsive
	// peer.
	noRetry bool
}

func newPeerMonitor() *peerMonitor {
	return &peerMonitor{peers: map[string]*monitoredPeer{}}
}

// peer returns the state of a peer and adds the peer if needed. The caller holds m.mu.
func (m *peerMonitor) peer(id string) *monitoredPeer {
	p := m.peers[id]
	if p == nil {
		p = &monitoredPeer{id: id, pending: map[*pendingRequest]struct{}{}}
		m.peers[id] = p
	}
	return p
}

// begin records the start of a request to a peer.
func (m *peerMonitor) begin(id string, req *pendingRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(id).pending[req] = struct{}{}
}

// end records the end of a request and whether the peer responded.
func (m *peerMonitor) end(id string, req *pendingRequest, responded bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id)
	delete(p.pending, req)
	switch {
	case responded:
		p.lastSeen = now
	case now.Sub(req.started) >= abandonedThreshold && p.lastSeen.Before(req.started):
		// The request was abandoned before the peer was due for a probe.
		p.suspect = true
	}
}

// duePeers returns the peers that are due for a probe and marks them as being probed.
func (m *peerMonitor) duePeers(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, p := range m.peers {
		if p.probing || !p.needsProbe(now) {
			continue
		}
		p.probing = true
		p.probedAt = now
		ids = append(ids, id)
	}
	return ids
}

func (p *monitoredPeer) needsProbe(now time.Time) bool {
	if p.unresponsive {
		return now.Sub(p.probedAt) >= reprobeInterval
	}
	if now.Sub(p.lastSeen) < peerIdleThreshold {
		return false
	}
	if p.suspect {
		return true
	}
	for req := range p.pending {
		if now.Sub(req.started) >= peerIdleThreshold {
			return true
		}
	}
	return false
}

// probeDone records the result of a probe that started at the given time, and reports whether
// the peer became responsive or unresponsive by it. A response that arrived during the probe
// counts as a success.
func (m *peerMonitor) probeDone(id string, ok bool, started, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id)
	p.probing = false
	p.suspect = false
	if ok || p.lastSeen.After(started) {
		p.lastSeen = now
		changed := p.unresponsive
		p.unresponsive = false
		return changed
	}
	for req := range p.pending {
		if !req.noRetry && req.started.Before(started) {
			req.cancel(errUnresponsive)
		}
	}
	changed := !p.unresponsive
	p.unresponsive = true
	return changed
}

// markUnreachable records that connecting to a peer failed, and reports whether the peer was
// responsive before.
func (m *peerMonitor) markUnreachable(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id)
	if p.unresponsive {
		return false
	}
	p.unresponsive = true
	p.probedAt = now
	return true
}

// prune removes the peers that are no longer known, except those with pending requests or a probe
// in flight.
func (m *peerMonitor) prune(known func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.peers {
		if len(p.pending) == 0 && !p.probing && !known(id) {
			delete(m.peers, id)
		}
	}
}

// WatchPeers calls CheckPeers every PeerCheckInterval until ctx is done, and then waits for the
// probes in flight.
func (f *Front) WatchPeers(ctx context.Context) error {
	t := time.NewTicker(PeerCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return f.WaitProbes()
		case <-t.C:
			f.CheckPeers(ctx)
		}
	}
}

// CheckPeers starts probes of the peers that are due for one. It must be called every
// PeerCheckInterval; after the last call, WaitProbes waits for the probes in flight.
func (f *Front) CheckPeers(ctx context.Context) {
	for _, id := range f.monitor.duePeers(f.Now()) {
		// A probe that panics gives no result for its peer.
		f.probes.Go(func() error {
			_ = f.Guard.Call("contact", func() { f.probePeer(ctx, id) })
			return nil
		})
	}
	f.monitor.prune(f.Table.Has)
}

// WaitProbes waits for the probes in flight.
func (f *Front) WaitProbes() error {
	return f.probes.Wait()
}

func (f *Front) probePeer(ctx context.Context, id string) {
	started := f.Now()
	ok := f.Probe(ctx, id)
	if ctx.Err() != nil || !f.monitor.probeDone(id, ok, started, f.Now()) {
		return
	}
	f.Table.SetUnreachable(id, !ok)
	f.Log.WithField("peer", id).WithField("reached", ok).WithField("probe_ms", millis(f.Now().Sub(started))).Warn("peer contact")
}
