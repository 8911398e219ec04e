// Package daemon is the process beside each backend server.
//
// A Daemon is three things at once. As the entry it takes calls of callers;
// as the ingress of its backend server it admits and runs calls; as the
// egress of its backend server it forwards that server's own calls to deeper
// services. Entry and egress share one way out, forward.go; what they send
// arrives at the ingress of another daemon, ingress.go.
//
//	caller --connect--> entry --drpc--> ingress --connect--> backend server
//	                                            egress <--connect-- its own calls
//
// Beside the calls a Daemon keeps the membership, the policy in force, the
// quarantine and the burn report, and serves operators.
//
//	d, err := daemon.New(cfg, log)
//	err = d.Run(ctx) // until ctx ends, then leaves gracefully
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/burn"
	"sycamorespread.dev/config"
	"sycamorespread.dev/front"
	"sycamorespread.dev/guard"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/invar"
	"sycamorespread.dev/life"
	"sycamorespread.dev/member"
	"sycamorespread.dev/peer"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/route"
	"sycamorespread.dev/server"
	"sycamorespread.dev/stats"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

const (
	// idlePeerConns is the number of idle connections kept for one peer.
	idlePeerConns = 64
	// idlePeerFor is how long they are kept.
	idlePeerFor = 10 * time.Minute
	// actionsKeep is how long the entry remembers the allowance of an action.
	actionsKeep = time.Minute
	// leaveMost bounds a graceful stop.
	leaveMost = 60 * time.Second
	// newWorkMost is how long after it began to leave a daemon may still get new work.
	newWorkMost = 3 * time.Second
	// leavePoll is how often a leaving daemon checks what is in flight.
	leavePoll = 20 * time.Millisecond
)

// Daemon is one running daemon.
type Daemon struct {
	cfg *config.Config
	log *logrus.Entry

	gate     *admit.Gate
	table    *route.Table
	shares   *allow.CostEstimator
	budgets  *allow.Budgets
	actions  *allow.AccountCache
	home     *ticket.Issuer
	book     *poison.Registry
	report   *burn.Recorder
	holder   *policy.Holder
	registry *policy.Registry
	node     *member.Node
	peers    *peer.Client
	backend  *server.Client
	platform *store.Client
	stats    *stats.Set
	guard    *guard.Guard
	claims   *rate.Limiter
	runs     *runs
	deeps    *deeps
	links    Links
	front    *front.Front
	fronts   []served
	// stopTimes holds the times of a stop, which a reload may change.
	stopTimes atomic.Pointer[config.Front]
	keeper    *life.Tracker
	hops      *httpc.Pool
	app       *httpc.Pool
	crashes   crashes
	suspects  chan struct{}

	incarnation uint64
	leaving     atomic.Bool
	closing     atomic.Bool
	leavingAt   atomic.Int64
	down        atomic.Bool
	joined      atomic.Bool
	inflight    atomic.Int64
	routesStale chan struct{}
	pulls       chan pull
	udp         *net.UDPConn
	drpc        net.Listener
	http        net.Listener
	leaseMu     sync.Mutex
	lease       claimLease
}

// New opens the sockets and prepares a daemon on the platform that links
// names.
func New(cfg *config.Config, log *logrus.Entry, links Links) (*Daemon, error) {
	started := time.Now()
	d := &Daemon{
		cfg:         cfg,
		log:         log,
		links:       links,
		incarnation: uint64(started.UnixMilli()),
		gate:        admit.New(admit.Config{Slots: cfg.Slots, WarmUp: cfg.WarmUp, Mode: cfg.Mode, Now: time.Now}),
		table:       route.New(cfg.ID, cfg.Zone, time.Now),
		shares:      allow.NewCostEstimator(),
		budgets:     allow.NewBudgets(allow.RatioSafetyFactor*cfg.RetryRatio, allow.DefaultMinRetries, time.Now),
		actions:     allow.NewAccountCache(actionsKeep, time.Now),
		report:      burn.New(time.Now),
		peers:       peer.New(peer.Config{LocalAddr: cfg.Addr.Addr(), MaxIdleConns: idlePeerConns, IdleTimeout: idlePeerFor}),
		backend:     server.New(cfg.Server, cfg.Connections),
		stats:       stats.New(),
		claims:      rate.NewLimiter(rate.Limit(cfg.ClaimRate), int(cfg.ClaimRate)),
		runs:        newRuns(),
		deeps:       newDeeps(),
		suspects:    make(chan struct{}, 1),
		routesStale: make(chan struct{}, 1),
		pulls:       make(chan pull, 1),
	}
	d.guard = guard.New(log, d.stats.Panic)
	monotonic := func() time.Duration { return time.Since(started) }
	d.stopTimes.Store(&cfg.Front)
	d.home = ticket.NewIssuer(cfg.ID, rand.Uint64(), cfg.TicketValid, monotonic)
	d.book = poison.New(time.Now, d.poisonChanged)
	if err := d.loadPolicy(); err != nil {
		return nil, err
	}
	d.openPlatform()
	return d, d.listen()
}

// loadPolicy takes the policy of the settings, if they name one.
func (d *Daemon) loadPolicy() error {
	d.holder = policy.NewHolder(nil)
	if d.cfg.PolicyFile == "" {
		return nil
	}
	p, err := readPolicy(d.cfg.PolicyFile)
	if err != nil {
		return errors.Wrapf(err, "policy file %s", d.cfg.PolicyFile)
	}
	d.holder = policy.NewHolder(p)
	return nil
}

func (d *Daemon) openPlatform() {
	if !d.cfg.Platform.IsValid() {
		return
	}
	d.platform = store.New(d.links.Transport(d.cfg.Platform), store.Rates{Reads: d.cfg.Reads, Writes: d.cfg.Writes})
	d.registry = &policy.Registry{Get: d.platform.Get, Put: d.platform.Put, Now: time.Now, Sleep: sleep}
}

func (d *Daemon) listen() error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.cfg.Addr))
	if err != nil {
		return errors.Wrapf(err, "listen on udp %s", d.cfg.Addr)
	}
	d.udp = udp
	if d.drpc, err = net.Listen("tcp", d.cfg.Addr.String()); err != nil {
		return errors.Wrapf(err, "listen on tcp %s", d.cfg.Addr)
	}
	if d.http, err = net.Listen("tcp", d.cfg.HTTP.String()); err != nil {
		return errors.Wrapf(err, "listen on tcp %s", d.cfg.HTTP)
	}
	d.node = member.New(d.memberConfig(), udpConn(udp))
	if d.cfg.Front.Enabled() {
		return d.openFront()
	}
	return nil
}

// Run serves until ctx ends, then announces that it leaves, finishes what is
// in flight and stops. It returns nil after a graceful stop.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, inner := errgroup.WithContext(inner)
	web := d.webServer()
	g.Go(func() error { return d.node.Run(inner) })
	g.Go(func() error { return d.peerServer().Serve(inner, d.drpc) })
	g.Go(func() error { return serveWeb(web, d.http) })
	g.Go(func() error { return d.guard.Loop(inner, "tick", d.tickLoop) })
	g.Go(func() error { return d.guard.Loop(inner, "routes", d.routeLoop) })
	if d.front != nil {
		d.runFront(inner, g)
	} else {
		g.Go(func() error { return d.guard.Loop(inner, "health", d.healthLoop) })
	}
	finder := d.finder()
	g.Go(func() error { return d.guard.Loop(inner, "join", finder.Join) })
	if d.platform != nil {
		g.Go(func() error { return d.guard.Loop(inner, "seed", finder.MaintainSeed) })
	}
	g.Go(func() error { return d.guard.Loop(inner, "watch", d.watchLoop) })
	g.Go(func() error { return d.guard.Loop(inner, "pull", d.pullLoop) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return web.Close()
		}
		err := d.leave(web)
		stop()
		return err
	})
	d.log.WithFields(logrus.Fields{"addr": d.cfg.Addr, "http": d.cfg.HTTP, "service": d.cfg.Service}).Info("started")
	err := g.Wait()
	d.backend.Close()
	if closeErr := d.peers.Close(); err == nil {
		err = closeErr
	}
	d.log.WithField("err", err).Info("stopped")
	return err
}

// leave announces the stop, waits until nothing is in flight and closes.
func (d *Daemon) leave(web *http.Server) error {
	if d.front != nil {
		d.leaveFront()
		return web.Close()
	}
	d.startLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), leaveMost)
	defer cancel()
	sleep(ctx, d.cfg.LeaveWait)
	for d.inflight.Load() > 0 && sleep(ctx, leavePoll) {
	}
	err := web.Shutdown(ctx)
	for d.inflight.Load() > 0 && sleep(ctx, leavePoll) {
	}
	invar.Check(d.runs.len() == 0 || ctx.Err() != nil, "graceful", action.ID{}, "%d runs in flight are cut off", d.runs.len())
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.State = sycapb.MemberState_MEMBER_STATE_LEFT })
	d.log.WithField("inflight", d.inflight.Load()).Info("left")
	return errors.Wrap(err, "stop serving callers")
}

// startLeaving refuses new work and tells the members and the backend server.
func (d *Daemon) startLeaving() {
	if d.leaving.Swap(true) {
		return
	}
	d.leavingAt.Store(time.Now().UnixNano())
	d.log.WithField("inflight", d.inflight.Load()).Info("leaving")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
}

// sinceLeaving returns how long before at the daemon began to leave, 0 when it
// did not.
func (d *Daemon) sinceLeaving(at time.Time) time.Duration {
	began := d.leavingAt.Load()
	if began == 0 {
		return 0
	}
	return at.Sub(time.Unix(0, began))
}

// begin counts a call in flight until the returned function is called.
func (d *Daemon) begin() func() {
	d.inflight.Add(1)
	return func() { d.inflight.Add(-1) }
}

// tickLoop does what is due in short intervals in one loop: each wake-up costs
// an idle daemon more than the work.
func (d *Daemon) tickLoop(ctx context.Context) error {
	const every = min(admit.TickInterval, front.PeerCheckInterval)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if d.front != nil {
				return d.front.WaitProbes()
			}
			return nil
		case <-t.C:
		}
		d.gate.Tick()
		if d.front != nil {
			d.front.CheckPeers(ctx)
		}
	}
}

// sleep waits for dur and reports whether ctx is still live.
func sleep(ctx context.Context, dur time.Duration) bool {
	t := time.NewTimer(dur)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
