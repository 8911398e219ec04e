// Package seed finds a first member for a daemon that starts, with few calls
// to the platform.
//
// The platform keeps the addresses of a few daemons of each availability zone,
// the seeds, under leases. A Finder reads them when it knows nobody, and keeps
// its own daemon's seed while that one is among the first of its zone. The
// load that it answers is a fleet that starts all at once, or comes back after
// all of it was lost: what each daemon writes, hundreds write. So a daemon
// writes only when it has found no seed at all, or once the members of its
// zone are known and it is one of the first.
//
//	f := seed.New(seed.Config{SeedsPerZone: 3, List: list, Keep: keep, Join: join, ...})
//	group.Go(func() error { return f.Join(ctx) })
//	group.Go(func() error { return f.Keep(ctx) })
package seed

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// LeaseTTL is the lease of a seed.
	LeaseTTL = 30 * time.Second
	// renewInterval is the time between two renewals; two may fail within TTL.
	renewInterval = 10 * time.Second
	// renewRetryDelay is the pause after a renewal that failed.
	renewRetryDelay = time.Second
	// listTimeout bounds the reading of the seeds, so that a platform that is away does not hold up a daemon that starts.
	listTimeout = 300 * time.Millisecond
	// joinInterval is the time between two tries to find a first member.
	joinInterval = 200 * time.Millisecond
	// lateJoinInterval is that time once JoinTimeout is over.
	lateJoinInterval = time.Second
	// JoinTimeout is how long a daemon that reaches nobody waits before it takes work.
	JoinTimeout = 1500 * time.Millisecond
	// bootstrapJitter is the time over which the daemons of a new system look for the first seed; a seed is
	// written in about a thirtieth of it.
	bootstrapJitter = 600 * time.Millisecond
	// rankDelay is how long after it joined a daemon waits until it takes its place among the members for final.
	rankDelay = time.Second
	// relistDelay is how long after its first seed a daemon reads the seeds once more, to meet another that began alone too.
	relistDelay = 500 * time.Millisecond
	// pollInterval is the time between two looks at whether the daemon has joined.
	pollInterval = 50 * time.Millisecond
)

// Config holds what a Finder needs.
type Config struct {
	// Bootstrap tells that the whole system starts for the first time.
	Bootstrap bool
	// SeedsPerZone is the number of seeds of an availability zone.
	SeedsPerZone int
	// ZoneRank returns this daemon's place among the live ones of its zone.
	ZoneRank func() int
	// MemberCount returns how many other daemons are known, also dead ones.
	MemberCount func() int
	// KnownAddrs returns the addresses of daemons that are known without the platform.
	KnownAddrs func() []netip.AddrPort
	// ListSeeds reads the seeds of others. A stale list may be seconds old and costs the platform less.
	ListSeeds func(ctx context.Context, stale bool) ([]netip.AddrPort, error)
	// RenewSeed renews the own seed under the lease, or writes it anew when the lease is 0 or has ended. It returns the lease.
	RenewSeed func(ctx context.Context, lease uint64) (uint64, error)
	// Join exchanges members with the daemons at the addresses and reports whether any answered.
	Join func(ctx context.Context, addrs []netip.AddrPort) bool
	// OnReady is called when the daemon may take work.
	OnReady func()
	// Leaving tells that the daemon ends.
	Leaving func() bool
	// Sleep waits and reports whether ctx is still live.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Jitter returns a random time up to most.
	Jitter func(most time.Duration) time.Duration
	Now    func() time.Time
	Log    *logrus.Entry
}

// Finder finds members and keeps a seed for one daemon.
type Finder struct {
	Config
	joined atomic.Bool
	// noSeeds tells that the platform knows no seed of another daemon.
	noSeeds atomic.Bool
}

// New returns a Finder.
func New(cfg Config) *Finder {
	return &Finder{Config: cfg}
}

// Join exchanges members with a first daemon, and again when all are gone. The
// daemon takes no work until then, since it could not pass on deeper calls;
// without anyone to ask it takes work after JoinTimeout.
func (f *Finder) Join(ctx context.Context) error {
	start := f.Now()
	if f.Bootstrap && !f.Sleep(ctx, f.Jitter(bootstrapJitter)) {
		return nil
	}
	joined := false
	for round := 0; ; round++ {
		if !joined || f.MemberCount() == 0 {
			joined = f.tryJoin(ctx, round == 0 && !f.Bootstrap)
		}
		late := f.Now().Sub(start) > JoinTimeout
		if joined {
			f.joined.Store(true)
		}
		if joined || late {
			f.OnReady()
		}
		pause := joinInterval
		if late {
			pause = lateJoinInterval
		}
		if !f.Sleep(ctx, pause) {
			return nil
		}
	}
}

// tryJoin asks the daemons that are known, and the seeds when none of them
// answers.
func (f *Finder) tryJoin(ctx context.Context, stale bool) bool {
	if known := f.KnownAddrs(); len(known) > 0 && f.Config.Join(ctx, known) {
		return true
	}
	wait, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	seeds, err := f.ListSeeds(wait, stale)
	if err != nil {
		f.Log.WithField("err", err).Info("seeds not read")
		return false
	}
	if len(seeds) == 0 {
		f.noSeeds.Store(f.noSeeds.Load() || !stale)
		return false
	}
	return f.Config.Join(ctx, seeds)
}

// MaintainSeed keeps the own seed while the daemon is among the first of its zone.
func (f *Finder) MaintainSeed(ctx context.Context) error {
	for !f.joined.Load() && !f.noSeeds.Load() {
		if !f.Sleep(ctx, pollInterval) {
			return nil
		}
	}
	if !f.noSeeds.Load() && !f.Sleep(ctx, rankDelay) {
		return nil
	}
	var lease uint64
	for wait := time.Duration(0); f.Sleep(ctx, wait); {
		wait = renewInterval
		if f.ZoneRank() >= f.SeedsPerZone || f.Leaving() {
			lease = 0
			continue
		}
		next, err := f.Config.RenewSeed(ctx, lease)
		if err != nil {
			f.Log.WithField("err", err).Warn("seed not kept")
			wait = renewRetryDelay
		}
		if lease == 0 && next != 0 && f.noSeeds.Swap(false) {
			f.joinOtherSeeds(ctx)
		}
		lease = next
	}
	return nil
}

// joinOtherSeeds looks for other daemons that began alone at the same moment. Each knew
// nobody, and those that joined one of them need not know the other.
func (f *Finder) joinOtherSeeds(ctx context.Context) {
	if !f.Sleep(ctx, relistDelay) {
		return
	}
	seeds, err := f.ListSeeds(ctx, false)
	if err != nil {
		f.Log.WithField("err", err).Info("seeds not read")
		return
	}
	if len(seeds) > 0 && !f.Config.Join(ctx, seeds) {
		f.Log.WithField("seeds", len(seeds)).Info("no seed answers")
	}
}
