package daemon

import (
	"context"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// watchRetryDelay is the delay before a broken watch is reopened.
	watchRetryDelay = 300 * time.Millisecond
	// peerPolicyTimeout is how long a starting daemon waits for a member to send it the policy before it reads the
	// policy from the store. firstPeerPolicyTimeout applies when the whole system starts and there are no callers yet.
	peerPolicyTimeout      = 150 * time.Millisecond
	firstPeerPolicyTimeout = 1500 * time.Millisecond
	// policyCheckInterval is the time between two checks for a policy while the daemon starts.
	policyCheckInterval = 50 * time.Millisecond
	// watcherCheckInterval is the time between two checks whether this daemon has become a watcher.
	watcherCheckInterval = time.Second
	// pullTimeout bounds one policy pull from a peer.
	pullTimeout = time.Second
)

// pullSource is a peer that has a newer policy, with its revision.
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

// applyPolicy puts a policy in force if it is newer than the present one, and
// announces its revision to the members.
func (d *Daemon) applyPolicy(p *policy.Policy, source string) {
	if !d.policyHolder.Update(p) {
		return
	}
	d.log.WithFields(logrus.Fields{"revision": p.Revision, "change": p.ChangeID, "from": source, "announced_ms": d.confirmed.TakeDelay().Milliseconds()}).Info("policy in force")
	d.node.AnnounceRevision()
}

// requestPull schedules a pull from a peer that has a newer policy. It does
// nothing if a pull is pending.
func (d *Daemon) requestPull(addr netip.AddrPort, revision uint64) {
	d.confirmed.Announce(revision)
	select {
	case d.pulls <- pullSource{addr: addr, revision: revision}:
	default:
	}
}

// pullLoop pulls newer policies from peers.
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

func (d *Daemon) pullFrom(ctx context.Context, src pullSource) {
	have := d.policyHolder.Revision()
	if src.revision <= have {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := time.Now()
	r, err := d.peers.Pull(ctx, src.addr, &sycapb.PullRequest{Have: have})
	if err != nil || r.Revision <= have {
		d.log.WithFields(logrus.Fields{"peer": src.addr, "err": err}).Debug("pull from peer returned no newer policy")
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

// policyKey returns the store key that determines the policy in force: the
// policy head, or with the HTTP interface the operator's policy itself.
func (d *Daemon) policyKey() string {
	if d.front != nil {
		return d.adapter.PolicyKey
	}
	return policy.HeadKey
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

// watchLoop watches the policy head while this daemon is a watcher.
func (d *Daemon) watchLoop(ctx context.Context) error {
	if d.platform == nil || !d.awaitPeerPolicy(ctx) {
		return nil
	}
	for {
		pause := watcherCheckInterval
		if d.joined.Load() && d.isWatcher() {
			err := d.watchHead(ctx)
			d.log.WithField("err", err).Info("watch ended")
			pause = watchRetryDelay
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

// readHead reads and applies the policy head.
func (d *Daemon) readHead(ctx context.Context) error {
	start := time.Now()
	item, err := d.platform.Get(ctx, d.policyKey())
	if err != nil {
		d.log.WithField("err", err).Warn("read policy head failed")
		return err
	}
	d.applyHead(ctx, item, start)
	return nil
}

// applyHead loads and applies the policy that the head names if it is newer than
// the one in force, and confirms that it is the newest at the given time. It
// reports an older head and ignores it.
func (d *Daemon) applyHead(ctx context.Context, item store.Item, at time.Time) {
	if d.front != nil {
		d.applyOperatorPolicy(item, at)
		return
	}
	head, err := policy.ParseHead(item.Value)
	if err != nil {
		d.log.WithField("err", err).Error("decode policy head failed")
		return
	}
	have := d.policyHolder.Revision()
	if head.Revision < have {
		d.stats.StaleHead()
		d.log.WithFields(logrus.Fields{"head": head.Revision, "in_force": have}).Error("stored policy head is older than the policy in force")
		return
	}
	if head.Revision == have {
		d.confirmPolicy(have, at)
		return
	}
	for head.Revision > d.policyHolder.Revision() {
		p, err := d.registry.Load(ctx, head)
		if err == nil {
			d.applyPolicy(p, sourcePlatform)
			d.confirmPolicy(p.Revision, at)
			return
		}
		d.log.WithField("err", err).Warn("load policy failed")
		if !sleep(ctx, watchRetryDelay/5) {
			return
		}
	}
}

// applyOperatorPolicy applies the policy that the operator keeps in the store.
func (d *Daemon) applyOperatorPolicy(item store.Item, at time.Time) {
	if item.Revision == 0 {
		return
	}
	p, err := d.adapter.DecodePolicy(string(item.Value))
	if err != nil {
		d.log.WithFields(logrus.Fields{"stored": item.Revision, "err": err}).Error("decode operator policy failed")
		return
	}
	if have := d.policyHolder.Revision(); p.Revision < have {
		d.stats.StaleHead()
		d.log.WithFields(logrus.Fields{"stored": p.Revision, "in_force": have}).Error("stored policy is older than the policy in force")
		return
	}
	d.applyPolicy(p, sourcePlatform)
	d.confirmPolicy(p.Revision, at)
}
