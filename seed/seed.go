// Package seed finds the other daemons for one that starts, with few calls to
// the platform.
//
// The platform stores the addresses of a few daemons of each availability zone,
// the seeds, under leases. A Finder lists the seeds while it knows no other
// daemon, and maintains the seed of its own daemon while that daemon is among
// the first of its zone. Daemons that started in a network partition do not know
// that others exist, so the daemons of a zone together also list the seeds every
// few seconds and join those that are not members.
//
// The number of calls matters if a whole fleet starts or restarts at once:
// hundreds of daemons would each write a seed. Therefore a daemon writes a seed
// only if it found none of another daemon, if none of those that it found has
// responded for some time, or once it knows the members of its zone and is one of
// the first.
//
//	f := seed.New(seed.Config{SeedsPerZone: 3, ListSeeds: list, RenewSeed: renew, Join: join, ...})
//	group.Go(func() error { return f.Join(ctx) })
//	group.Go(func() error { return f.MaintainSeed(ctx) })
package seed

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/store"
)

const (
	// LeaseTTL is the duration of the lease of a seed.
	LeaseTTL = 30 * time.Second
	// renewInterval is the time between two renewals. Two renewals may fail within LeaseTTL.
	renewInterval = 10 * time.Second
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = time.Second
	// listTimeout is the limit on listing the seeds, so that an unavailable platform does not delay
	// the start of a daemon.
	listTimeout = 300 * time.Millisecond
	// joinInterval is the time between two attempts to join.
	joinInterval = 200 * time.Millisecond
	// lateJoinInterval replaces joinInterval after JoinTimeout.
	lateJoinInterval = time.Second
	// JoinTimeout is the time after which a daemon that could not join accepts work.
	JoinTimeout = 1500 * time.Millisecond
	// bootstrapJitter is the time over which the daemons of a new system spread their first listing
	// of the seeds. Writing a seed takes about a thirtieth of it.
	bootstrapJitter = 600 * time.Millisecond
	// rankDelay is the time after joining until a daemon relies on its rank in the zone.
	rankDelay = time.Second
	// relistDelay is the time after writing the first seed until a daemon lists the seeds again, to
	// find other daemons that wrote a first seed at the same time.
	relistDelay = 500 * time.Millisecond
	// firstSeedOdds is the reciprocal of the probability that a daemon writes a seed after an attempt to join at
	// JoinTimeout, at which no listed seed responded. The probability doubles each seedOddsInterval, so that a few
	// of any number of daemons write one within seconds.
	firstSeedOdds    = 32
	seedOddsInterval = time.Second
	// scanInterval is the mean time between two scans for seeds that are not members, by all daemons of
	// a zone together.
	scanInterval = 3 * time.Second
	// maxContacts bounds the daemons contacted in one attempt to join.
	maxContacts = 8
	// pollInterval is the time between two checks whether the daemon has joined.
	pollInterval = 50 * time.Millisecond
)

// Config holds what a Finder needs.
type Config struct {
	// Bootstrap reports that the whole system starts for the first time.
	Bootstrap bool
	// SeedsPerZone is the number of seeds of an availability zone.
	SeedsPerZone int
	// ZoneRank returns the index of this daemon in the order of the live daemons of its zone.
	ZoneRank func() int
	// ZoneSize returns the number of live daemons of the zone, this one included.
	ZoneSize func() int
	// MemberCount returns the number of other known daemons, including dead ones.
	MemberCount func() int
	// IsLive reports whether a live member has the address.
	IsLive func(netip.AddrPort) bool
	// KnownAddrs returns the addresses of daemons that are known without asking the platform.
	KnownAddrs func() []netip.AddrPort
	// ListSeeds lists the seeds of other daemons in random order. A stale list may be seconds old and is
	// cheaper for the platform.
	ListSeeds func(ctx context.Context, stale bool) ([]netip.AddrPort, error)
	// RenewSeed renews the lease of the own seed, or writes the seed under a new lease if there is none
	// or it has expired. It returns the lease.
	RenewSeed func(ctx context.Context, lease store.Lease) (store.Lease, error)
	// Join exchanges member entries with the daemons at addrs and reports whether any responded.
	Join func(ctx context.Context, addrs []netip.AddrPort) bool
	// OnReady is called, possibly repeatedly, when the daemon may accept work.
	OnReady func()
	// Leaving reports whether the daemon is shutting down.
	Leaving func() bool
	// Sleep waits for d and reports whether ctx is not done.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Jitter returns a random duration below limit.
	Jitter func(limit time.Duration) time.Duration
	Now    func() time.Time
	Log    *logrus.Entry
}

// Finder joins one daemon to the others and maintains its seed.
type Finder struct {
	Config
	joined atomic.Bool
	// noSeeds reports that the platform listed no seed of another daemon.
	noSeeds atomic.Bool
	// unresponsive holds the seeds that have not responded since the daemon started or joined last.
	unresponsive map[netip.AddrPort]bool
	// lost is signalled when the own seed may be lost.
	lost chan struct{}
}

// New returns a Finder.
func New(cfg Config) *Finder {
	return &Finder{Config: cfg, unresponsive: map[netip.AddrPort]bool{}, lost: make(chan struct{}, 1)}
}

// Join exchanges member entries with a first daemon, and again whenever no other
// daemon is known. The daemon accepts no work until it has joined, since it
// could not forward downstream calls. If it cannot join, it accepts work after
// JoinTimeout. Once it has joined, Join scans for daemons that are not members.
func (f *Finder) Join(ctx context.Context) error {
	start := f.Now()
	if f.Bootstrap && !f.Sleep(ctx, f.Jitter(bootstrapJitter)) {
		return nil
	}
	joined := false
	delay := joinInterval
	for round := 0; ; round++ {
		switch {
		case !joined || f.MemberCount() == 0:
			joined = f.tryJoin(ctx, round == 0 && !f.Bootstrap)
			if late := f.Now().Sub(start) - JoinTimeout; !joined && late > 0 && len(f.unresponsive) > 0 {
				f.proposeSeed(late)
			}
		case f.scanDue(delay):
			f.scan(ctx)
		}
		timedOut := f.Now().Sub(start) > JoinTimeout
		if joined {
			f.joined.Store(true)
		}
		if joined || timedOut {
			f.OnReady()
		}
		if timedOut {
			delay = lateJoinInterval
		}
		if !f.Sleep(ctx, delay) {
			return nil
		}
	}
}

// proposeSeed makes the daemon write a seed at random, since no listed seed responds: their daemons may all be
// gone. late is the time since JoinTimeout.
func (f *Finder) proposeSeed(late time.Duration) {
	odds := max(1, firstSeedOdds>>(late/seedOddsInterval))
	if f.Jitter(time.Duration(odds)) == 0 && !f.noSeeds.Swap(true) {
		f.Log.WithField("seeds", len(f.unresponsive)).Warn("no seed responds; writing one")
	}
}

// tryJoin joins through the daemons in KnownAddrs or, if none of them responds,
// through the seeds. It reports whether it joined.
func (f *Finder) tryJoin(ctx context.Context, stale bool) bool {
	if addrs := f.KnownAddrs(); len(addrs) > 0 && f.Config.Join(ctx, addrs) {
		return true
	}
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	seeds, err := f.ListSeeds(listCtx, stale)
	if err != nil {
		f.Log.WithField("err", err).Info("listing the seeds failed")
		return false
	}
	if len(seeds) == 0 {
		f.noSeeds.Store(f.noSeeds.Load() || !stale)
		return false
	}
	return f.contact(ctx, seeds)
}

// contact joins through a few of the seeds, first those that have not failed to respond.
func (f *Finder) contact(ctx context.Context, seeds []netip.AddrPort) bool {
	slices.SortStableFunc(seeds, func(a, b netip.AddrPort) int {
		switch {
		case f.unresponsive[a] == f.unresponsive[b]:
			return 0
		case f.unresponsive[b]:
			return -1
		}
		return 1
	})
	seeds = seeds[:min(len(seeds), maxContacts)]
	if f.Config.Join(ctx, seeds) {
		clear(f.unresponsive)
		return true
	}
	for _, a := range seeds {
		f.unresponsive[a] = true
	}
	return false
}

// scanDue reports at random whether this daemon scans after the given time since
// the last decision, such that the daemons of its zone together scan every
// scanInterval.
func (f *Finder) scanDue(elapsed time.Duration) bool {
	return f.Jitter(scanInterval*time.Duration(f.ZoneSize())) < elapsed
}

// scan joins the known daemons and the seeds that are not live members. They
// belong to another part of a system that started, or lost its memory, during a
// network partition. Neither part notices that it lacks the other.
func (f *Finder) scan(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	seeds, err := f.ListSeeds(listCtx, true)
	if err != nil {
		f.Log.WithField("err", err).Info("listing the seeds failed")
	}
	missing := slices.DeleteFunc(append(f.KnownAddrs(), seeds...), f.IsLive)
	if len(missing) == 0 {
		return
	}
	before := f.MemberCount()
	ok := f.Config.Join(ctx, missing[:min(len(missing), maxContacts)])
	f.Log.WithFields(logrus.Fields{"missing": len(missing), "joined": ok, "members": before, "after": f.MemberCount()}).Info("contacted daemons that were not members")
}

// MaintainSeed writes and renews the own seed while the daemon is among the
// first SeedsPerZone of its zone. It starts once the daemon has joined or the
// platform listed no seeds.
func (f *Finder) MaintainSeed(ctx context.Context) error {
	for !f.joined.Load() && !f.noSeeds.Load() {
		if !f.Sleep(ctx, pollInterval) {
			return nil
		}
	}
	if !f.noSeeds.Load() && !f.Sleep(ctx, rankDelay) {
		return nil
	}
	var lease store.Lease
	for delay := time.Duration(0); f.awaitRenewal(ctx, delay); {
		delay = renewInterval
		if f.ZoneRank() >= f.SeedsPerZone || f.Leaving() {
			lease = store.Lease{}
			continue
		}
		next, err := f.Config.RenewSeed(ctx, lease)
		if err != nil {
			f.Log.WithField("err", err).Warn("renewing the own seed failed")
			delay = renewRetryDelay
		}
		if lease.ID == 0 && next.ID != 0 && f.noSeeds.Swap(false) {
			f.joinOtherSeeds(ctx)
		}
		lease = next
	}
	return nil
}

// awaitRenewal waits for delay, or until the own seed may be lost, and reports
// whether ctx is not done.
func (f *Finder) awaitRenewal(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.lost:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// ReportLost makes MaintainSeed renew the own seed at once, since the platform may
// have lost it.
func (f *Finder) ReportLost() {
	select {
	case f.lost <- struct{}{}:
	default:
	}
}

// joinOtherSeeds joins other daemons that wrote a first seed at the same time.
// None of them knew the others, and daemons that joined through one of them may
// not know the others either.
func (f *Finder) joinOtherSeeds(ctx context.Context) {
	if !f.Sleep(ctx, relistDelay) {
		return
	}
	seeds, err := f.ListSeeds(ctx, false)
	if err != nil {
		f.Log.WithField("err", err).Info("listing the seeds again failed")
		return
	}
	if len(seeds) > 0 && !f.Config.Join(ctx, seeds[:min(len(seeds), maxContacts)]) {
		f.Log.WithField("seeds", len(seeds)).Info("no seed responded to the join")
	}
}
