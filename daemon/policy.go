package daemon

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
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
)

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
	d.log.WithFields(logrus.Fields{"revision": p.Revision, "change": p.ChangeID, "from": source, "era": d.storeEra().Era, "announced_ms": d.confirmed.TakeDelay().Milliseconds()}).Info("policy in force")
	d.addServices(p)
	d.node.AnnounceRevision()
}

// policyKey returns the store key that determines the policy in force: the
// policy head, or with the HTTP interface the operator's policy itself.
func (d *Daemon) policyKey() string {
	if d.front != nil {
		return d.adapter.PolicyKey
	}
	return policy.HeadKey
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
	start := d.clock()
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
		d.log.WithFields(logrus.Fields{"head": head.Revision, "in_force": have, "era": item.Revision.Era}).Error("stored policy head is older than the policy in force")
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
	if item.Revision.Number == 0 {
		return
	}
	p, err := d.adapter.DecodePolicy(string(item.Value))
	if err != nil {
		d.log.WithFields(logrus.Fields{"stored": item.Revision.Number, "era": item.Revision.Era, "err": err}).Error("decode operator policy failed")
		return
	}
	if have := d.policyHolder.Revision(); p.Revision < have {
		d.stats.StaleHead()
		d.log.WithFields(logrus.Fields{"stored": p.Revision, "in_force": have, "era": item.Revision.Era}).Error("stored policy is older than the policy in force")
		return
	}
	d.applyPolicy(p, sourcePlatform)
	d.confirmPolicy(p.Revision, at)
}
