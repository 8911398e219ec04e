package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerIdleThreshold is how long a peer with open requests may say nothing before it is probed.
	peerIdleThreshold = 150 * time.Millisecond
	// abandonedThreshold is how long a request waited that was given up without a word of the peer, for the peer to be probed.
	abandonedThreshold = 80 * time.Millisecond
	// PeerCheckInterval is the time between two looks for silent peers.
	PeerCheckInterval = 50 * time.Millisecond
	// reprobeInterval is the time between two probes of a silent peer.
	reprobeInterval = 250 * time.Millisecond
)

// errUnresponsive cancels the requests that may be sent again when their peer
// neither answers nor can be reached.
var errUnresponsive = errors.New("the peer is silent")

// peerMonitor follows whether the peers that have requests of this Front still
// say anything. A link can be cut without a word: requests on open connections
// then wait for answers that never come. A peer that says nothing for
// peerIdleThreshold is probed; when it does not answer, what may be sent again is
// taken back from it, and it gets nothing until a probe reaches it.
type peerMonitor struct {
	mu    sync.Mutex
	peers map[string]*monitoredPeer
}

// monitoredPeer is what is known of one peer.
type monitoredPeer struct {
	id       string
	lastSeen time.Time
	pending  map[*pendingRequest]struct{}
	// probing tells that a probe is on its way; silent that the last one was not answered.
	probing, unresponsive bool
	// suspect tells that a request was given up to which the peer said nothing.
	suspect  bool
	probedAt time.Time
}

// pendingRequest is one request that waits for its answer.
type pendingRequest struct {
	began  time.Time
	cancel context.CancelCauseFunc
	// noRetry tells that the request must not be sent again and stays.
	noRetry bool
}

func newPeerMonitor() *peerMonitor {
	return &peerMonitor{peers: map[string]*monitoredPeer{}}
}

// peer returns the contact of a peer; c.mu is held.
func (c *peerMonitor) peer(id string) *monitoredPeer {
	p := c.peers[id]
	if p == nil {
		p = &monitoredPeer{id: id, pending: map[*pendingRequest]struct{}{}}
		c.peers[id] = p
	}
	return p
}

// begin notes a request to a peer.
func (c *peerMonitor) begin(id string, s *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer(id).pending[s] = struct{}{}
}

// end notes the end of a request, and whether the peer said anything.
func (c *peerMonitor) end(id string, s *pendingRequest, responded bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(id)
	delete(p.pending, s)
	switch {
	case responded:
		p.lastSeen = now
	case now.Sub(s.began) >= abandonedThreshold && p.lastSeen.Before(s.began):
		// Given up before the peer was due for a probe.
		p.suspect = true
	}
}

// duePeers returns the peers to probe now.
func (c *peerMonitor) duePeers(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, p := range c.peers {
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
	for s := range p.pending {
		if now.Sub(s.began) >= peerIdleThreshold {
			return true
		}
	}
	return false
}

// probed takes the result of a probe that began at the given time and reports
// whether the peer's silence changed.
func (c *peerMonitor) probeDone(id string, ok bool, began, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(id)
	p.probing = false
	p.suspect = false
	if ok || p.lastSeen.After(began) {
		p.lastSeen = now
		changed := p.unresponsive
		p.unresponsive = false
		return changed
	}
	for s := range p.pending {
		if !s.noRetry && s.began.Before(began) {
			s.cancel(errUnresponsive)
		}
	}
	changed := !p.unresponsive
	p.unresponsive = true
	return changed
}

// markUnreachable notes that a peer could not be reached, and reports whether that is
// news.
func (c *peerMonitor) markUnreachable(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(id)
	if p.unresponsive {
		return false
	}
	p.unresponsive = true
	p.probedAt = now
	return true
}

// prune drops the peers that are not known any more.
func (c *peerMonitor) prune(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if len(p.pending) == 0 && !p.probing && !known(id) {
			delete(c.peers, id)
		}
	}
}

// WatchPeers calls CheckPeers until ctx ends.
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

// CheckPeers probes the peers that have become silent. It must be called each
// PeerCheckInterval; WaitProbes waits for the probes after the last call.
func (f *Front) CheckPeers(ctx context.Context) {
	for _, id := range f.monitor.duePeers(f.Now()) {
		// A probe that panics has told nothing of its peer.
		f.probes.Go(func() error {
			_ = f.Guard.Call("contact", func() { f.probePeer(ctx, id) })
			return nil
		})
	}
	f.monitor.prune(f.Table.Has)
}

// WaitProbes waits for the probes of silent peers.
func (f *Front) WaitProbes() error {
	return f.probes.Wait()
}

func (f *Front) probePeer(ctx context.Context, id string) {
	began := f.Now()
	reached := f.Probe(ctx, id)
	if ctx.Err() != nil || !f.monitor.probeDone(id, reached, began, f.Now()) {
		return
	}
	f.Table.SetUnreachable(id, !reached)
	f.Log.WithField("peer", id).WithField("reached", reached).WithField("probe_ms", millis(f.Now().Sub(began))).Warn("peer contact")
}
