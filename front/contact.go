package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// silentAfter is how long a peer with open requests may say nothing before it is probed.
	silentAfter = 150 * time.Millisecond
	// doubtAfter is how long a request waited that was given up without a word of the peer, for the peer to be probed.
	doubtAfter = 80 * time.Millisecond
	// ContactEvery is the time between two looks for silent peers.
	ContactEvery = 50 * time.Millisecond
	// returnEvery is the time between two probes of a silent peer.
	returnEvery = 250 * time.Millisecond
)

// errSilent cancels the requests that may be sent again when their peer
// neither answers nor can be reached.
var errSilent = errors.New("the peer is silent")

// contacts follows whether the peers that have requests of this Front still
// say anything. A link can be cut without a word: requests on open connections
// then wait for answers that never come. A peer that says nothing for
// silentAfter is probed; when it does not answer, what may be sent again is
// taken back from it, and it gets nothing until a probe reaches it.
type contacts struct {
	mu sync.Mutex
	m  map[string]*contact
}

// contact is what is known of one peer.
type contact struct {
	id    string
	heard time.Time
	open  map[*sent]struct{}
	// probing tells that a probe is on its way; silent that the last one was not answered.
	probing, silent bool
	// doubt tells that a request was given up to which the peer said nothing.
	doubt  bool
	probed time.Time
}

// sent is one request that waits for its answer.
type sent struct {
	began  time.Time
	cancel context.CancelCauseFunc
	// keep tells that the request must not be sent again and stays.
	keep bool
}

func newContacts() *contacts {
	return &contacts{m: map[string]*contact{}}
}

// of returns the contact of a peer; c.mu is held.
func (c *contacts) of(id string) *contact {
	p := c.m[id]
	if p == nil {
		p = &contact{id: id, open: map[*sent]struct{}{}}
		c.m[id] = p
	}
	return p
}

// begin notes a request to a peer.
func (c *contacts) begin(id string, s *sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).open[s] = struct{}{}
}

// end notes the end of a request, and whether the peer said anything.
func (c *contacts) end(id string, s *sent, heard bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.of(id)
	delete(p.open, s)
	switch {
	case heard:
		p.heard = now
	case now.Sub(s.began) >= doubtAfter && p.heard.Before(s.began):
		// Given up before the peer was due for a probe.
		p.doubt = true
	}
}

// due returns the peers to probe now.
func (c *contacts) due(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, p := range c.m {
		if p.probing || !p.wantsProbe(now) {
			continue
		}
		p.probing = true
		p.probed = now
		ids = append(ids, id)
	}
	return ids
}

func (p *contact) wantsProbe(now time.Time) bool {
	if p.silent {
		return now.Sub(p.probed) >= returnEvery
	}
	if now.Sub(p.heard) < silentAfter {
		return false
	}
	if p.doubt {
		return true
	}
	for s := range p.open {
		if now.Sub(s.began) >= silentAfter {
			return true
		}
	}
	return false
}

// probed takes the result of a probe that began at the given time and reports
// whether the peer's silence changed.
func (c *contacts) result(id string, reached bool, began, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.of(id)
	p.probing = false
	p.doubt = false
	if reached || p.heard.After(began) {
		p.heard = now
		changed := p.silent
		p.silent = false
		return changed
	}
	for s := range p.open {
		if !s.keep && s.began.Before(began) {
			s.cancel(errSilent)
		}
	}
	changed := !p.silent
	p.silent = true
	return changed
}

// lose notes that a peer could not be reached, and reports whether that is
// news.
func (c *contacts) lose(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.of(id)
	if p.silent {
		return false
	}
	p.silent = true
	p.probed = now
	return true
}

// forget drops the peers that are not known any more.
func (c *contacts) forget(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.m {
		if len(p.open) == 0 && !p.probing && !known(id) {
			delete(c.m, id)
		}
	}
}

// WatchPeers calls LookAtPeers until ctx ends.
func (f *Front) WatchPeers(ctx context.Context) error {
	t := time.NewTicker(ContactEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return f.WaitPeers()
		case <-t.C:
			f.LookAtPeers(ctx)
		}
	}
}

// LookAtPeers probes the peers that have become silent. It must be called each
// ContactEvery; WaitPeers waits for the probes after the last call.
func (f *Front) LookAtPeers(ctx context.Context) {
	for _, id := range f.contacts.due(f.Now()) {
		// A probe that panics has told nothing of its peer.
		f.probes.Go(func() error {
			_ = f.Guard.Call("contact", func() { f.probe(ctx, id) })
			return nil
		})
	}
	f.contacts.forget(f.Table.Has)
}

// WaitPeers waits for the probes of silent peers.
func (f *Front) WaitPeers() error {
	return f.probes.Wait()
}

func (f *Front) probe(ctx context.Context, id string) {
	began := f.Now()
	reached := f.Reach(ctx, id)
	if ctx.Err() != nil || !f.contacts.result(id, reached, began, f.Now()) {
		return
	}
	f.Table.SetUnreachable(id, !reached)
	f.Log.WithField("peer", id).WithField("reached", reached).WithField("probe_ms", millis(f.Now().Sub(began))).Warn("peer contact")
}
