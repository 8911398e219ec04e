package daemon

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// watchRetryDelay is the pause before a broken watch is opened again.
	watchRetryDelay = 300 * time.Millisecond
	// peerPolicyTimeout is how long a daemon that starts waits for a member that gives it the policy before it reads it
	// from the platform; firstPeerPolicyTimeout when the whole system starts, which has no callers yet.
	peerPolicyTimeout      = 150 * time.Millisecond
	firstPeerPolicyTimeout = 1500 * time.Millisecond
	// policyCheckInterval is the time between two looks at whether there is a policy.
	policyCheckInterval = 50 * time.Millisecond
	// watcherCheckInterval is the time between two looks at whether this daemon has become a watcher.
	watcherCheckInterval = time.Second
	// pullTimeout bounds one pull from a peer.
	pullTimeout = time.Second
)

// pullSource names a peer that has a higher revision.
type pullSource struct {
	addr     netip.AddrPort
	revision uint64
}

func readPolicy(file string) (*policy.Policy, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return policy.Parse(string(b))
}

// applyPolicy puts a policy in force when it is newer, and tells the members.
func (d *Daemon) applyPolicy(p *policy.Policy, from string) {
	if !d.holder.Update(p) {
		return
	}
	d.log.WithFields(logrus.Fields{"revision": p.Revision, "change": p.ChangeID, "from": from}).Info("policy in force")
	d.node.AnnounceRevision()
}

// requestPull notes that a peer has a higher revision.
func (d *Daemon) requestPull(addr netip.AddrPort, revision uint64) {
	select {
	case d.pulls <- pullSource{addr: addr, revision: revision}:
	default:
	}
}

// pullLoop fetches newer policies from the peers that have them.
func (d *Daemon) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-d.pulls:
			d.pullFrom(ctx, p)
		}
	}
}

func (d *Daemon) pullFrom(ctx context.Context, from pullSource) {
	have := d.holder.Revision()
	if from.revision <= have {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	r, err := d.peers.Pull(ctx, from.addr, &sycapb.PullRequest{Have: have})
	if err != nil || r.Revision <= have {
		d.log.WithFields(logrus.Fields{"peer": from.addr, "err": err}).Debug("policy not pulled")
		return
	}
	p, err := d.decodePulled(r)
	if err != nil {
		d.log.WithFields(logrus.Fields{"peer": from.addr, "err": err}).Error("peer has a policy that fails its checks")
		return
	}
	d.applyPolicy(p, from.addr.String())
}

// decodePulled reads the policy that a peer sent.
func (d *Daemon) decodePulled(r *sycapb.PullReply) (*policy.Policy, error) {
	if d.front != nil {
		return d.adapter.DecodePolicy(r.Text)
	}
	return policy.ParseAccepted(r.Revision, r.ChangeId, r.Text)
}

// policyKey returns the key whose value tells which policy is in force.
func (d *Daemon) policyKey() string {
	if d.front != nil {
		return d.adapter.PolicyKey
	}
	return policy.HeadKey
}

// answerPull answers a pull.
func (d *Daemon) answerPull(req *sycapb.PullRequest) *sycapb.PullReply {
	p := d.holder.Policy()
	if p == nil || p.Revision <= req.Have {
		return &sycapb.PullReply{Revision: d.holder.Revision()}
	}
	return &sycapb.PullReply{Revision: p.Revision, ChangeId: p.ChangeID, Text: p.Text}
}

// watchLoop watches the policy head while this daemon is among the watchers of
// its zone, reads it when no member gave a policy within peerPolicyTimeout, and now and
// then in case that the watchers are cut from the platform.
func (d *Daemon) watchLoop(ctx context.Context) error {
	if d.platform == nil {
		return nil
	}
	start := time.Now()
	wait := peerPolicyTimeout
	if d.cfg.Bootstrap {
		wait = firstPeerPolicyTimeout
	}
	for !d.joined.Load() && time.Since(start) < wait && sleep(ctx, policyCheckInterval) {
	}
	for {
		if d.joined.Load() && d.isWatcher() {
			err := d.watchHead(ctx)
			d.log.WithField("err", err).Info("watch ended")
		} else if d.holder.Policy() == nil && time.Since(start) >= wait || d.holder.Policy() != nil && d.shouldPollHead() {
			d.readHead(ctx)
		}
		pause := watcherCheckInterval
		switch {
		case d.holder.Policy() == nil && time.Since(start) < wait:
			pause = policyCheckInterval
		case d.holder.Policy() == nil || d.isWatcher():
			pause = watchRetryDelay
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

// watchHead follows the head until the watch breaks or this daemon is none of
// the watchers any more.
func (d *Daemon) watchHead(ctx context.Context) error {
	return d.platform.Watch(ctx, d.policyKey(), d.isWatcher, func(item store.Item) { d.applyHead(ctx, item) })
}

func (d *Daemon) readHead(ctx context.Context) {
	item, err := d.platform.Get(ctx, d.policyKey())
	if err != nil {
		d.log.WithField("err", err).Warn("policy not read")
		return
	}
	d.applyHead(ctx, item)
}

// applyHead takes the policy that a head names when it is newer. An older head
// is reported, not followed.
func (d *Daemon) applyHead(ctx context.Context, item store.Item) {
	if d.front != nil {
		d.applyOperatorPolicy(item)
		return
	}
	head, err := policy.ParseHead(item.Value)
	if err != nil {
		d.log.WithField("err", err).Error("policy head cannot be read")
		return
	}
	have := d.holder.Revision()
	if head.Revision < have {
		d.stats.StaleHead()
		d.log.WithFields(logrus.Fields{"head": head.Revision, "in_force": have}).Error("the platform has an older policy head than the one in force")
		return
	}
	if head.Revision == have {
		return
	}
	for head.Revision > d.holder.Revision() {
		p, err := d.registry.Load(ctx, head)
		if err == nil {
			d.applyPolicy(p, "platform")
			return
		}
		d.log.WithField("err", err).Warn("policy not loaded")
		if !sleep(ctx, watchRetryDelay/5) {
			return
		}
	}
}

// applyOperatorPolicy takes the policy that the operator keeps in the platform.
func (d *Daemon) applyOperatorPolicy(item store.Item) {
	if item.Revision == 0 {
		return
	}
	p, err := d.adapter.DecodePolicy(string(item.Value))
	if err != nil {
		d.log.WithFields(logrus.Fields{"stored": item.Revision, "err": err}).Error("policy of the operator cannot be read")
		return
	}
	if have := d.holder.Revision(); p.Revision < have {
		d.stats.StaleHead()
		d.log.WithFields(logrus.Fields{"stored": p.Revision, "in_force": have}).Error("the platform has an older policy than the one in force")
		return
	}
	d.applyPolicy(p, "platform")
}
