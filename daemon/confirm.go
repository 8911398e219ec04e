package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// confirmRatio, askRatio and policyAgeRatio are ratios of the time within which a policy must be in
	// force: the interval at which the first watcher of a zone confirms that it is the newest, the age
	// from which others ask, just after it has, and the age from which a daemon reads the store itself.
	// The rest is for that read.
	confirmRatio   = 0.4
	askRatio       = 0.45
	policyAgeRatio = 0.6
	// askInterval is the interval at which a daemon asks watchers until one confirms the policy.
	askInterval = 100 * time.Millisecond
	// confirmRetryDelay is the delay before a second read of the store if the first one has not
	// returned or has failed. It doubles with each further read, up to maxConfirmRetryDelay.
	confirmRetryDelay    = 150 * time.Millisecond
	maxConfirmRetryDelay = time.Second
	// maxConfirmReads bounds the reads in flight.
	maxConfirmReads = 2
	// maxFollowersPerWatcher bounds the members of its zone per watcher.
	maxFollowersPerWatcher = 16

	// sourcePlatform is the source of a policy that this daemon read from the store.
	sourcePlatform = "platform"
)

func scale(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d))
}

// policyConfirmed records that a member knew a revision to be the newest at a
// time.
func (d *Daemon) policyConfirmed(addr netip.AddrPort, revision uint64, at time.Time) {
	d.confirmed.Confirm(revision, at, addr.String())
}

// confirmPolicy records a read of the store that returned the policy in force.
func (d *Daemon) confirmPolicy(revision uint64, at time.Time) {
	d.confirmed.Confirm(revision, at, sourcePlatform)
}

// confirmLoop asks the watchers of this zone whether the policy in force is the
// newest, and reads the store whenever that is not known: no watcher that this
// daemon reaches has read the store lately, or this daemon has no policy.
func (d *Daemon) confirmLoop(ctx context.Context) error {
	if !d.awaitPeerPolicy(ctx) {
		return nil
	}
	var reads errgroup.Group
	reads.SetLimit(maxConfirmReads)
	retry := confirmRetryDelay
	askWindow := scale(d.cfg.PolicyDelay, policyAgeRatio-askRatio)
	for asked := 0; ; {
		wait := d.confirmed.Remaining()
		switch {
		case wait > askWindow:
			retry, asked = confirmRetryDelay, 0
			wait -= askWindow
		case wait > 0:
			retry = confirmRetryDelay
			d.askWatcher(ctx, asked)
			asked++
			wait = min(wait, askInterval)
		default:
			d.startRead(ctx, &reads, retry > confirmRetryDelay)
			wait = retry/2 + rand.N(retry)
			retry = min(2*retry, maxConfirmRetryDelay)
			if d.policyHolder.Policy() == nil {
				wait = watchRetryDelay
			}
		}
		if !sleep(ctx, max(wait, time.Millisecond)) {
			return reads.Wait()
		}
	}
}

// askWatcher asks one of the watchers of this zone for its revision, another one for
// each number.
func (d *Daemon) askWatcher(ctx context.Context, number int) {
	watchers := d.otherWatchers()
	if len(watchers) == 0 {
		return
	}
	m := watchers[number%len(watchers)]
	d.node.AskRevision(ctx, m.id, m.addr)
}

// startRead starts a read of the store unless maxConfirmReads are in flight. A
// repeated read uses a new connection, since idle ones may have gone silent.
func (d *Daemon) startRead(ctx context.Context, reads *errgroup.Group, repeated bool) {
	if repeated {
		d.platform.CloseIdle()
	}
	reads.TryGo(func() error {
		// The policy is read again until it is confirmed; Guard logs a panic.
		_ = d.guard.Call("read", func() {
			if err := d.readHead(ctx); ctx.Err() == nil {
				d.confirmed.ReportLost(err)
			}
		})
		return nil
	})
}

// awaitPeerPolicy waits until members have had time to send a policy, which saves
// a read. It returns false if ctx has ended.
func (d *Daemon) awaitPeerPolicy(ctx context.Context) bool {
	start := time.Now()
	wait := peerPolicyTimeout
	if d.cfg.Bootstrap {
		wait = firstPeerPolicyTimeout
	}
	for d.policyHolder.Policy() == nil && time.Since(start) < wait {
		if !sleep(ctx, policyCheckInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// zoneMember is a live daemon of this daemon's zone.
type zoneMember struct {
	id      string
	addr    netip.AddrPort
	leaving bool
}

// zoneMembers returns the live daemons of this daemon's zone, itself included, by
// ID and with those that leave at the end. The first ones watch the store.
func (d *Daemon) zoneMembers() []zoneMember {
	list := []zoneMember{{id: d.cfg.ID, leaving: d.leaving.Load()}}
	d.node.ForEach(func(e *sycapb.MemberEntry, addr netip.AddrPort) {
		if e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && e.Zone == d.cfg.Zone && e.Region == d.cfg.Region {
			list = append(list, zoneMember{id: e.Id, addr: addr, leaving: e.Leaving})
		}
	})
	slices.SortFunc(list, func(a, b zoneMember) int {
		switch {
		case a.leaving == b.leaving:
			return cmp.Compare(a.id, b.id)
		case a.leaving:
			return 1
		}
		return -1
	})
	return list
}

// otherWatchers returns the watchers of this zone except this daemon, in an order
// that spreads the load among them.
func (d *Daemon) otherWatchers() []zoneMember {
	list := d.zoneMembers()
	watchers := list[:min(len(list), d.watchers(len(list)))]
	rank := d.rankIn(list)
	var others []zoneMember
	for i := range watchers {
		if m := watchers[(rank+i)%len(watchers)]; m.id != d.cfg.ID {
			others = append(others, m)
		}
	}
	return others
}

// watchers returns the number of watchers in a zone with a number of live daemons.
func (d *Daemon) watchers(zoneSize int) int {
	zones := map[string]bool{d.cfg.Zone: true}
	d.node.Count(func(e *sycapb.MemberEntry) bool {
		if e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !e.Leaving && e.Region == d.cfg.Region {
			zones[e.Zone] = true
		}
		return false
	})
	return max(watchersPerZone, ceilDiv(minWatchers, len(zones)), ceilDiv(zoneSize, maxFollowersPerWatcher))
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

// rankIn returns the place of this daemon in zoneMembers.
func (d *Daemon) rankIn(list []zoneMember) int {
	return slices.IndexFunc(list, func(m zoneMember) bool { return m.id == d.cfg.ID })
}

// isWatcher reports whether this daemon watches the policy head.
func (d *Daemon) isWatcher() bool {
	list := d.zoneMembers()
	return d.rankIn(list) < d.watchers(len(list))
}

// watchInterval returns the longest time between two responses of a watch. The first
// watcher of a zone confirms the policy for the others; their watches only have to
// end before a connection that went silent delays a change.
func (d *Daemon) watchInterval() time.Duration {
	if d.rankIn(d.zoneMembers()) == 0 {
		return scale(d.cfg.PolicyDelay, confirmRatio)
	}
	return d.cfg.PolicyDelay
}

// watchHead applies each version of the policy head, and confirms it, until the
// watch breaks or this daemon is no longer a watcher.
func (d *Daemon) watchHead(ctx context.Context) error {
	return d.platform.Watch(ctx, store.Watcher{
		Key:         d.policyKey(),
		Now:         d.clock,
		Interval:    d.watchInterval,
		Keep:        d.isWatcher,
		OnItem:      func(item store.Item, at time.Time) { d.applyHead(ctx, item, at) },
		OnUnchanged: func(at time.Time) { d.confirmPolicy(d.policyHolder.Revision(), at) },
	})
}
