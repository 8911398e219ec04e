package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/member"
	"sycamorespread.dev/route"
	"sycamorespread.dev/server"
	"sycamorespread.dev/sycapb"
)

const (
	// seedsPerZone is the number of daemons of a zone that are listed in the platform.
	seedsPerZone = 3
	// watchersPerZone is the number of daemons of a zone that watch the policy head.
	watchersPerZone = 2
	// seedTTL is the lease of a seed record.
	seedTTL = 30 * time.Second
	// seedEvery is the time between two renewals.
	seedEvery = 10 * time.Second
	// seedWait bounds the reading of the seeds, so that a platform that is away does not hold up a daemon that starts.
	seedWait = 300 * time.Millisecond
	// seedRetry is the pause after a renewal that failed.
	seedRetry = time.Second
	// joinEvery is the time between two tries to find a first member.
	joinEvery = 200 * time.Millisecond
	// lonelyEvery is that time once joinGrace is over.
	lonelyEvery = time.Second
	// joinGrace is how long a daemon that reaches nobody waits before it takes work.
	joinGrace = 1500 * time.Millisecond
	// maxSeeds bounds the seeds asked in one try.
	maxSeeds = 32
	// maxContacts bounds the members asked in one try, beside the seeds.
	maxContacts = 5
	// routeGap is the least time between two rebuilds of the route table.
	routeGap = 200 * time.Millisecond

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
			Http:        d.cfg.HTTP.String(),
			Slots:       uint32(d.cfg.Slots),
			Down:        true,
			Front:       d.frontAddr(),
		},
		Probe:    d.cfg.Probe,
		Now:      time.Now,
		Revision: d.holder.Revision,
		Behind:   d.behind,
		Poison:   d.book.Merge,
		Changed:  d.routesChanged,
		Exchange: d.exchange,
		Guard:    d.guard,
	}
}

// frontAddr returns where other daemons send HTTP requests, empty for nowhere.
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

// routesChanged asks for a rebuild of the route table.
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
		d.shareSlack()
		sleep(ctx, routeGap)
	}
}

// shareSlack gives each budget this daemon's part of the retries that all
// daemons together may send beyond the ratio.
func (d *Daemon) shareSlack() {
	if d.cfg.RetrySlack == 0 {
		return
	}
	live := d.node.Count(func(e *sycapb.MemberEntry) bool { return e.State < sycapb.MemberState_MEMBER_STATE_DEAD })
	d.budgets.Save(max(1, d.cfg.RetrySlack/float64(live+1)))
}

// targets returns the members of this region that may take work, this daemon
// included. Those that take no new work can still be asked by the tickets of
// which they are the home.
func (d *Daemon) targets() []route.Target {
	var list []route.Target
	add := func(e *sycapb.MemberEntry, addr netip.AddrPort) {
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
			DirectOnly:  e.Leaving || e.Down || e.State != sycapb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	for _, r := range d.node.Rows() {
		add(r.Entry, r.Addr)
	}
	add(d.node.Self(), d.cfg.Addr)
	return list
}

// joinLoop exchanges entries with a first member, and again when all are
// gone. The daemon takes no work until then, since it could not pass on the
// deeper calls; without anyone to ask it takes work after joinGrace.
func (d *Daemon) joinLoop(ctx context.Context) error {
	start := time.Now()
	joined := false
	for {
		if !joined || d.node.Len() == 0 {
			joined = d.node.Join(ctx, d.firstContacts(ctx))
		}
		if joined || time.Since(start) > joinGrace {
			d.setJoined()
		}
		pause := joinEvery
		if time.Since(start) > joinGrace {
			pause = lonelyEvery
		}
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

// setJoined announces this daemon as ready for work, once.
func (d *Daemon) setJoined() {
	if d.joined.Swap(true) {
		return
	}
	d.table.Update(d.targets())
	d.node.Update(func(e *sycapb.MemberEntry) { e.Down = d.down.Load() })
	d.routesChanged()
}

func (d *Daemon) firstContacts(ctx context.Context) []netip.AddrPort {
	list := append(slices.Clone(d.cfg.Peers), d.node.Strangers()...)
	for _, r := range d.node.Rows() {
		if r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD && len(list) < maxContacts {
			list = append(list, r.Addr)
		}
	}
	if d.platform == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, seedWait)
	defer cancel()
	items, err := d.platform.List(ctx, seedPrefix+d.cfg.Region+"/")
	if err != nil {
		d.log.WithField("err", err).Info("seeds not read")
		return list
	}
	// In a large fleet that starts all at once every daemon has written a seed.
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	for _, item := range items[:min(len(items), maxSeeds)] {
		e := new(sycapb.MemberEntry)
		if proto.Unmarshal(item.Value, e) != nil || e.Id == d.cfg.ID {
			continue
		}
		if a, err := netip.ParseAddrPort(e.Addr); err == nil {
			list = append(list, a)
		}
	}
	return list
}

// rank returns this daemon's place among the live ones of its zone, by ID.
func (d *Daemon) rank() int {
	return d.node.Count(func(e *sycapb.MemberEntry) bool {
		alive := e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !e.Leaving
		return alive && e.Zone == d.cfg.Zone && e.Region == d.cfg.Region && e.Id < d.cfg.ID
	})
}

// seedLoop keeps a seed record in the platform while this daemon is among the
// first of its zone.
func (d *Daemon) seedLoop(ctx context.Context) error {
	if d.platform == nil {
		return nil
	}
	var lease uint64
	for wait := time.Duration(0); sleep(ctx, wait); {
		wait = seedEvery
		if d.rank() >= seedsPerZone || d.leaving.Load() {
			lease = 0
			continue
		}
		next, err := d.keepSeed(ctx, lease)
		if err != nil {
			d.log.WithField("err", err).Warn("seed not kept")
			wait = seedRetry
		}
		lease = next
	}
	return nil
}

// keepSeed renews the seed record, or writes it anew when its lease is gone.
func (d *Daemon) keepSeed(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		alive, err := d.platform.Renew(ctx, lease)
		if err != nil || alive {
			return lease, err
		}
	}
	lease, err := d.platform.Grant(ctx, seedTTL)
	if err != nil {
		return 0, err
	}
	key := seedPrefix + d.cfg.Region + "/" + d.cfg.Zone + "/" + d.cfg.ID
	b, err := proto.Marshal(d.node.Self())
	if err != nil {
		return 0, err
	}
	old, err := d.platform.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	_, err = d.platform.Put(ctx, key, b, old.Revision, lease)
	return lease, err
}

func isDial(err error) bool {
	var dial *server.DialError
	return errors.As(err, &dial)
}
