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
//	f := seed.New(seed.Config{PerZone: 3, List: list, Keep: keep, Join: join, ...})
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
	// TTL is the lease of a seed.
	TTL = 30 * time.Second
	// keepEvery is the time between two renewals; two may fail within TTL.
	keepEvery = 10 * time.Second
	// keepRetry is the pause after a renewal that failed.
	keepRetry = time.Second
	// listWait bounds the reading of the seeds, so that a platform that is away does not hold up a daemon that starts.
	listWait = 300 * time.Millisecond
	// joinEvery is the time between two tries to find a first member.
	joinEvery = 200 * time.Millisecond
	// lonelyEvery is that time once JoinGrace is over.
	lonelyEvery = time.Second
	// JoinGrace is how long a daemon that reaches nobody waits before it takes work.
	JoinGrace = 1500 * time.Millisecond
	// startSpread is the time over which the daemons of a new system look for the first seed; a seed is
	// written in about a thirtieth of it.
	startSpread = 600 * time.Millisecond
	// settle is how long after it joined a daemon waits until it takes its place among the members for final.
	settle = time.Second
	// again is how long after its first seed a daemon reads the seeds once more, to meet another that began alone too.
	again = 500 * time.Millisecond
	// lookEvery is the time between two looks at whether the daemon has joined.
	lookEvery = 50 * time.Millisecond
)

// Config holds what a Finder needs.
type Config struct {
	// First tells that the whole system starts for the first time.
	First bool
	// PerZone is the number of seeds of an availability zone.
	PerZone int
	// Rank returns this daemon's place among the live ones of its zone.
	Rank func() int
	// Members returns how many other daemons are known, also dead ones.
	Members func() int
	// Known returns the addresses of daemons that are known without the platform.
	Known func() []netip.AddrPort
	// List reads the seeds of others. A stale list may be seconds old and costs the platform less.
	List func(ctx context.Context, stale bool) ([]netip.AddrPort, error)
	// Keep renews the own seed under the lease, or writes it anew when the lease is 0 or has ended. It returns the lease.
	Keep func(ctx context.Context, lease uint64) (uint64, error)
	// Join exchanges members with the daemons at the addresses and reports whether any answered.
	Join func(ctx context.Context, addrs []netip.AddrPort) bool
	// Joined is called when the daemon may take work.
	Joined func()
	// Leaving tells that the daemon ends.
	Leaving func() bool
	// Sleep waits and reports whether ctx is still live.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Spread returns a random time up to most.
	Spread func(most time.Duration) time.Duration
	Now    func() time.Time
	Log    *logrus.Entry
}

// Finder finds members and keeps a seed for one daemon.
type Finder struct {
	Config
	joined atomic.Bool
	// alone tells that the platform knows no seed of another daemon.
	alone atomic.Bool
}

// New returns a Finder.
func New(cfg Config) *Finder {
	return &Finder{Config: cfg}
}

// Join exchanges members with a first daemon, and again when all are gone. The
// daemon takes no work until then, since it could not pass on deeper calls;
// without anyone to ask it takes work after JoinGrace.
func (f *Finder) Join(ctx context.Context) error {
	start := f.Now()
	if f.First && !f.Sleep(ctx, f.Spread(startSpread)) {
		return nil
	}
	joined := false
	for round := 0; ; round++ {
		if !joined || f.Members() == 0 {
			joined = f.find(ctx, round == 0 && !f.First)
		}
		late := f.Now().Sub(start) > JoinGrace
		if joined {
			f.joined.Store(true)
		}
		if joined || late {
			f.Joined()
		}
		pause := joinEvery
		if late {
			pause = lonelyEvery
		}
		if !f.Sleep(ctx, pause) {
			return nil
		}
	}
}

// find asks the daemons that are known, and the seeds when none of them
// answers.
func (f *Finder) find(ctx context.Context, stale bool) bool {
	if known := f.Known(); len(known) > 0 && f.Config.Join(ctx, known) {
		return true
	}
	wait, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	seeds, err := f.List(wait, stale)
	if err != nil {
		f.Log.WithField("err", err).Info("seeds not read")
		return false
	}
	if len(seeds) == 0 {
		f.alone.Store(f.alone.Load() || !stale)
		return false
	}
	return f.Config.Join(ctx, seeds)
}

// Keep keeps the own seed while the daemon is among the first of its zone.
func (f *Finder) Keep(ctx context.Context) error {
	for !f.joined.Load() && !f.alone.Load() {
		if !f.Sleep(ctx, lookEvery) {
			return nil
		}
	}
	if !f.alone.Load() && !f.Sleep(ctx, settle) {
		return nil
	}
	var lease uint64
	for wait := time.Duration(0); f.Sleep(ctx, wait); {
		wait = keepEvery
		if f.Rank() >= f.PerZone || f.Leaving() {
			lease = 0
			continue
		}
		next, err := f.Config.Keep(ctx, lease)
		if err != nil {
			f.Log.WithField("err", err).Warn("seed not kept")
			wait = keepRetry
		}
		if lease == 0 && next != 0 && f.alone.Swap(false) {
			f.meet(ctx)
		}
		lease = next
	}
	return nil
}

// meet looks for other daemons that began alone at the same moment. Each knew
// nobody, and those that joined one of them need not know the other.
func (f *Finder) meet(ctx context.Context) {
	if !f.Sleep(ctx, again) {
		return
	}
	seeds, err := f.List(ctx, false)
	if err != nil {
		f.Log.WithField("err", err).Info("seeds not read")
		return
	}
	if len(seeds) > 0 && !f.Config.Join(ctx, seeds) {
		f.Log.WithField("seeds", len(seeds)).Info("no seed answers")
	}
}
