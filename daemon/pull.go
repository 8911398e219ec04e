package daemon

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/sycapb"
)

const (
	// pullTimeout bounds one policy pull from a peer.
	pullTimeout = time.Second
	// pullHedgeDelay is how long a pull may take before another source is asked too. It is several
	// times the duration of an exchange within a region.
	pullHedgeDelay = 100 * time.Millisecond
	// maxPulls bounds the pulls in flight, maxPullSources the sources that are remembered.
	maxPulls       = 4
	maxPullSources = 16
	// anyRevision is the lowest revision, for a pull from a peer that has not announced one.
	anyRevision = 1
)

// pullSource is a peer that has a newer policy, with its revision.
type pullSource struct {
	addr     netip.AddrPort
	revision uint64
}

// puller pulls newer policies from the peers that announced them: from one at a
// time while it responds, and from further ones if it does not.
type puller struct {
	revision func() uint64
	pull     func(ctx context.Context, src pullSource)

	announced chan pullSource
	finished  chan netip.AddrPort
	// waiting holds the sources that were not asked yet, in the order in which they announced;
	// inflight holds those being asked.
	waiting  []pullSource
	inflight map[netip.AddrPort]bool
}

func newPuller(revision func() uint64, pull func(ctx context.Context, src pullSource)) *puller {
	return &puller{
		revision:  revision,
		pull:      pull,
		announced: make(chan pullSource, maxPullSources),
		finished:  make(chan netip.AddrPort, maxPulls),
		inflight:  map[netip.AddrPort]bool{},
	}
}

// offer adds a source. It drops the source if too many arrive at once; members
// repeat their revision with each packet.
func (p *puller) offer(src pullSource) {
	select {
	case p.announced <- src:
	default:
	}
}

// run pulls until ctx ends.
func (p *puller) run(ctx context.Context) error {
	var g errgroup.Group
	hedge := time.NewTimer(pullHedgeDelay)
	defer hedge.Stop()
	for {
		hedged := false
		select {
		case <-ctx.Done():
			return g.Wait()
		case src := <-p.announced:
			p.add(src)
		case addr := <-p.finished:
			delete(p.inflight, addr)
		case <-hedge.C:
			hedged = true
		}
		p.dropOlder()
		if len(p.waiting) > 0 && (len(p.inflight) == 0 || hedged) && len(p.inflight) < maxPulls {
			p.start(ctx, &g)
			hedge.Reset(pullHedgeDelay)
		} else if hedged && len(p.inflight) > 0 {
			hedge.Reset(pullHedgeDelay)
		}
	}
}

// add remembers a source unless it is known.
func (p *puller) add(src pullSource) {
	if p.inflight[src.addr] || len(p.waiting) >= maxPullSources {
		return
	}
	for i := range p.waiting {
		if p.waiting[i].addr == src.addr {
			p.waiting[i].revision = max(p.waiting[i].revision, src.revision)
			return
		}
	}
	p.waiting = append(p.waiting, src)
}

// dropOlder removes the sources that have no newer policy.
func (p *puller) dropOlder() {
	have := p.revision()
	kept := p.waiting[:0]
	for _, src := range p.waiting {
		if src.revision > have {
			kept = append(kept, src)
		}
	}
	p.waiting = kept
}

// start asks the source that announced first.
func (p *puller) start(ctx context.Context, g *errgroup.Group) {
	src := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.inflight[src.addr] = true
	g.Go(func() error {
		p.pull(ctx, src)
		select {
		case p.finished <- src.addr:
		case <-ctx.Done():
		}
		return nil
	})
}

// requestPull schedules a pull from a peer that has a newer policy.
func (d *Daemon) requestPull(addr netip.AddrPort, revision uint64) {
	d.confirmed.Announce(revision)
	d.puller.offer(pullSource{addr: addr, revision: revision})
}

// pullGuarded calls pullFrom. Guard logs a panic; other sources are still asked.
func (d *Daemon) pullGuarded(ctx context.Context, src pullSource) {
	_ = d.guard.Call("pull", func() { d.pullFrom(ctx, src) })
}

func (d *Daemon) pullFrom(ctx context.Context, src pullSource) {
	have := d.policyHolder.Revision()
	if src.revision <= have {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := d.clock()
	r, err := d.peers.Pull(ctx, src.addr, &sycapb.PullRequest{Have: have})
	took := d.clock().Sub(start)
	if err == nil && r.Revision == 0 {
		d.log.WithFields(logrus.Fields{"peer": src.addr, "ms": took.Milliseconds()}).Info("peer has no policy yet")
		return
	}
	if err != nil || r.Revision <= have {
		d.log.WithFields(logrus.Fields{"peer": src.addr, "announced": src.revision, "ms": took.Milliseconds(), "err": err}).Warn("pull from peer returned no newer policy")
		return
	}
	p, err := d.decodePulled(r)
	if err != nil {
		d.log.WithFields(logrus.Fields{"peer": src.addr, "err": err}).Error("policy pulled from peer is invalid")
		return
	}
	d.applyPolicy(p, src.addr.String())
	if r.AgeMs != nil {
		d.policyConfirmed(src.addr, p.Revision, start.Add(-time.Duration(*r.AgeMs)*time.Millisecond))
	}
}

// decodePulled decodes the policy that a peer sent.
func (d *Daemon) decodePulled(r *sycapb.PullReply) (*policy.Policy, error) {
	if d.front != nil {
		return d.adapter.DecodePolicy(r.Text)
	}
	return policy.ParseAccepted(r.Revision, r.ChangeId, r.Text)
}

// answerPull replies to the pull of a peer, with the policy if it is newer than
// the peer's.
func (d *Daemon) answerPull(req *sycapb.PullRequest) *sycapb.PullReply {
	p := d.policyHolder.Policy()
	if p == nil || p.Revision <= req.Have {
		return &sycapb.PullReply{Revision: d.policyHolder.Revision()}
	}
	r := &sycapb.PullReply{Revision: p.Revision, ChangeId: p.ChangeID, Text: p.Text}
	if age, ok := d.confirmed.Age(p.Revision); ok {
		r.AgeMs = proto.Uint32(uint32(min(math.MaxUint32, age/time.Millisecond+1)))
	}
	return r
}
