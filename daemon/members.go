package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/member"
	"sycamorespread.dev/route"
	"sycamorespread.dev/seed"
	"sycamorespread.dev/server"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// seedsPerZone is the number of daemons per zone that have a seed record in the store.
	seedsPerZone = 3
	// watchersPerZone is the minimum number of daemons per zone that watch the policy head. minWatchers is the minimum
	// number of watchers in the cluster.
	watchersPerZone = 2
	minWatchers     = 3
	// maxJoinMembers bounds the known members contacted in one join attempt, in addition to the seeds.
	maxJoinMembers = 5
	// minRouteInterval is the minimum time between two rebuilds of the route table.
	minRouteInterval = 200 * time.Millisecond

	seedPrefix = "seed/"
)

func (d *Daemon) memberConfig() member.Config {
	return member.Config{
		Self: &sycapb.MemberEntry{
			Id:          d.cfg.ID,
			Incarnation: d.incarnation,
			Service:     d.cfg.Service,
			Region:      d.cfg.Region,
			Zone:        d.cfg.Zone,
			Addr:        d.cfg.Advertise.String(),
			Http:        d.cfg.HTTPAddr.String(),
			Slots:       uint32(d.cfg.Slots),
			Down:        true,
			Front:       d.frontAddr(),
		},
		ProbeInterval:   d.cfg.ProbeInterval,
		Now:             time.Now,
		Clock:           d.clock,
		Revision:        d.policyHolder.Revision,
		PolicyAge:       d.confirmed.Age,
		OnConfirmed:     d.policyConfirmed,
		StoreEra:        d.storeEra,
		OnStoreEra:      d.memberEra,
		OnNewerRevision: d.requestPull,
		OnInvalid:       d.invalidEntry,
		OnPoison:        d.mergePoison,
		Poisons:         d.quarantine.Entries,
		PoisonDigest:    d.quarantine.Digest,
		OnSyncPoisons:   d.learnPoisons,
		OnChange:        d.routesChanged,
		Exchange:        d.exchange,
		Guard:           d.guard,
	}
}

// invalidEntry logs an invalid entry of another daemon. Members repeat their entries.
func (d *Daemon) invalidEntry(err error) {
	d.entryLog.Do(func() { d.log.WithField("err", err).Warn("invalid entry received") })
}

// mergePoison merges a poison entry of another daemon.
func (d *Daemon) mergePoison(e *sycapb.PoisonEntry) {
	if err := d.quarantine.Merge(e); err != nil {
		d.invalidEntry(err)
	}
}

// learnPoisons merges poison entries of an exchange with another daemon.
func (d *Daemon) learnPoisons(entries []*sycapb.PoisonEntry) {
	changed, errs := d.quarantine.Learn(entries)
	for _, err := range errs {
		d.invalidEntry(err)
	}
	if changed > 0 {
		d.log.WithFields(logrus.Fields{"received": len(entries), "changed": changed}).Info("poison entries learned")
	}
}

// storeEra returns the latest era in a response of the store, and the latest restore
// that this daemon knows of.
func (d *Daemon) storeEra() (e member.StoreEra) {
	if d.platform != nil {
		e.Era, _ = d.platform.Era()
		e.SinceRestore, e.Restored = d.platform.SinceRestore()
	}
	return e
}

// memberEra handles the era of the store that a member stated. A later one is a
// reason to ask the store, once for each era; only a response of the store is proof.
func (d *Daemon) memberEra(e member.StoreEra) {
	if d.platform == nil {
		return
	}
	if e.Restored {
		d.platform.StateRestore(e.Era, e.SinceRestore)
	}
	own, known := d.platform.Era()
	if stated := d.statedEra.Load(); known && e.Era > max(stated, own) && d.statedEra.CompareAndSwap(stated, e.Era) {
		d.finder.ReportLost()
	}
}

// frontAddr returns the address to which other daemons send HTTP requests, or
// an empty string if the HTTP interface is off.
func (d *Daemon) frontAddr() string {
	if !d.cfg.Front.Enabled() {
		return ""
	}
	return d.cfg.Front.Advertise.String()
}

func (d *Daemon) exchange(ctx context.Context, addr netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return d.peers.Sync(ctx, addr, req)
}

func udpConn(c *net.UDPConn) member.Conn {
	return member.Conn{
		Read: c.ReadFromUDPAddrPort,
		Write: func(b []byte, to netip.AddrPort) error {
			_, err := c.WriteToUDPAddrPort(b, to)
			return err
		},
		Close: c.Close,
	}
}

// routesChanged schedules a rebuild of the route table.
func (d *Daemon) routesChanged() {
	select {
	case d.routesStale <- struct{}{}:
	default:
	}
}

func (d *Daemon) routeLoop(ctx context.Context) error {
	d.table.Update(d.targets())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.routesStale:
		}
		d.table.Update(d.targets())
		d.updateRetrySlack()
		sleep(ctx, minRouteInterval)
	}
}

// updateRetrySlack sets this daemon's share of the retries that all daemons
// together may send beyond the retry ratio, at least 1 per budget.
func (d *Daemon) updateRetrySlack() {
	if d.cfg.RetrySlack == 0 {
		return
	}
	live := d.node.Count(func(e *sycapb.MemberEntry) bool { return e.State < sycapb.MemberState_MEMBER_STATE_DEAD })
	d.budgets.SetMinRetries(max(1, d.cfg.RetrySlack/float64(live+1)))
}

// targets returns the live members of this region, this daemon included, as
// routing targets. Those that take no new calls remain reachable by ID, for
// calls with tickets that they issued.
func (d *Daemon) targets() []route.Target {
	var list []route.Target
	add := func(e *sycapb.MemberEntry, addr netip.AddrPort) {
		// Without the HTTP interface, a daemon rejects new calls as soon as it leaves.
		rejects := e.Leaving && d.front == nil
		if e.State >= sycapb.MemberState_MEMBER_STATE_DEAD || e.Region != d.cfg.Region {
			return
		}
		if d.front != nil {
			at, err := netip.ParseAddrPort(e.Front)
			if err != nil {
				return
			}
			addr = at
		}
		list = append(list, route.Target{
			ID:          e.Id,
			Incarnation: e.Incarnation,
			Addr:        addr,
			Service:     e.Service,
			Zone:        e.Zone,
			Slots:       int(e.Slots),
			Stopping:    e.Leaving,
			ByIDOnly:    e.Down || e.State != sycapb.MemberState_MEMBER_STATE_ALIVE || rejects,
		})
	}
	d.node.ForEach(add)
	add(d.node.Self(), d.cfg.Addr)
	return list
}

// setJoined announces, once, that this daemon accepts calls.
func (d *Daemon) setJoined() {
	if d.joined.Swap(true) {
		return
	}
	d.table.Update(d.targets())
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = d.serverDown.Load() })
	d.routesChanged()
	if addrs := d.knownAddrs(); d.policyHolder.Policy() == nil && len(addrs) > 0 {
		// Pulling the policy from a member saves a read from the store.
		d.puller.offer(pullSource{addr: addrs[rand.IntN(len(addrs))], revision: anyRevision})
	}
}

// newFinder returns the finder that joins the cluster and maintains this
// daemon's seed record.
func (d *Daemon) newFinder() *seed.Finder {
	return seed.New(seed.Config{
		Bootstrap:    d.cfg.Bootstrap,
		SeedsPerZone: seedsPerZone,
		ZoneRank:     d.zoneRank,
		ZoneSize:     d.zoneSize,
		MemberCount:  d.node.Len,
		IsLive:       d.isLive,
		KnownAddrs:   d.knownAddrs,
		ListSeeds:    d.listSeeds,
		RenewSeed:    d.renewSeed,
		Join:         d.node.Join,
		OnReady:      d.setJoined,
		Leaving:      d.leaving.Load,
		Sleep:        sleep,
		Jitter:       func(limit time.Duration) time.Duration { return rand.N(limit) },
		Now:          time.Now,
		Log:          d.log,
	})
}

// knownAddrs returns the addresses that can be contacted to join without the
// store: configured peers, unknown senders and known members.
func (d *Daemon) knownAddrs() []netip.AddrPort {
	list := append(slices.Clone(d.cfg.Peers), d.node.UnknownSenders()...)
	d.node.ForEach(func(e *sycapb.MemberEntry, addr netip.AddrPort) {
		if e.State < sycapb.MemberState_MEMBER_STATE_DEAD && len(list) < maxJoinMembers {
			list = append(list, addr)
		}
	})
	return list
}

// listSeeds returns the addresses of the seeds of other daemons, in random order.
// stale permits a stale read.
func (d *Daemon) listSeeds(ctx context.Context, stale bool) ([]netip.AddrPort, error) {
	if d.platform == nil {
		return nil, nil
	}
	items, err := d.platform.List(ctx, seedPrefix+d.cfg.Region+"/", stale)
	if err != nil {
		return nil, err
	}
	var list []netip.AddrPort
	for _, item := range items {
		e := new(sycapb.MemberEntry)
		err := proto.Unmarshal(item.Value, e)
		addr, addrErr := netip.ParseAddrPort(e.Addr)
		if err != nil || addrErr != nil || addr.Port() == 0 {
			d.log.WithFields(logrus.Fields{"key": item.Key, "err": err, "addr": e.Addr}).Warn("decode seed record failed; skipping it")
			continue
		}
		if e.Id != d.cfg.ID {
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list, nil
}

// zoneRank returns the index of this daemon among the live daemons of its zone,
// ordered by ID.
func (d *Daemon) zoneRank() int {
	return d.node.Count(func(e *sycapb.MemberEntry) bool {
		alive := e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !e.Leaving
		return alive && e.Zone == d.cfg.Zone && e.Region == d.cfg.Region && e.Id < d.cfg.ID
	})
}

// zoneSize returns the number of live daemons of the zone, this one included.
func (d *Daemon) zoneSize() int {
	return 1 + d.node.Count(func(e *sycapb.MemberEntry) bool {
		return e.State < sycapb.MemberState_MEMBER_STATE_DEAD && e.Zone == d.cfg.Zone && e.Region == d.cfg.Region
	})
}

// isLive reports whether a live member, or this daemon, has the address.
func (d *Daemon) isLive(addr netip.AddrPort) bool {
	live := addr == d.cfg.Advertise
	d.node.ForEach(func(e *sycapb.MemberEntry, at netip.AddrPort) {
		live = live || at == addr && e.State < sycapb.MemberState_MEMBER_STATE_DEAD
	})
	return live
}

// renewSeed renews the lease of the seed record, or writes the record with a new
// lease if the old one has expired. It returns the lease.
func (d *Daemon) renewSeed(ctx context.Context, lease store.Lease) (store.Lease, error) {
	if lease.ID != 0 {
		alive, err := d.platform.Renew(ctx, lease)
		if err != nil || alive {
			return lease, err
		}
	}
	lease, err := d.platform.Grant(ctx, seed.LeaseTTL)
	if err != nil {
		return store.Lease{}, err
	}
	key := seedPrefix + d.cfg.Region + "/" + d.cfg.Zone + "/" + d.cfg.ID
	b, err := proto.Marshal(d.node.Self())
	if err != nil {
		return store.Lease{}, err
	}
	put, err := d.platform.Put(ctx, key, b, store.Revision{}, lease)
	if err == nil && !put.Swapped && put.Item.Revision.Number != 0 {
		// The seed record of this daemon's previous process still exists.
		put, err = d.platform.Put(ctx, key, b, put.Item.Revision, lease)
	}
	if err != nil {
		return store.Lease{}, err
	}
	if !put.Swapped {
		return store.Lease{}, &SeedError{Key: key, LeaseExpired: put.LeaseExpired}
	}
	return lease, nil
}

// SeedError reports that a seed record was not written, because of another
// writer or an expired lease.
type SeedError struct {
	Key string
	// LeaseExpired is true if the lease has expired.
	LeaseExpired bool
}

func (e *SeedError) Error() string {
	return fmt.Sprintf("write seed record %s: not swapped, lease expired: %t", e.Key, e.LeaseExpired)
}

func isDialError(err error) bool {
	var dial *server.DialError
	return errors.As(err, &dial)
}
