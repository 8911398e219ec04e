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
	// maxIdleDRPCConns is the number of idle connections kept for one peer.
	maxIdleDRPCConns = 64
	// drpcIdleTimeout is how long they are kept.
	drpcIdleTimeout = 10 * time.Minute
	// actionTTL is how long the entry remembers the allowance of an action.
	actionTTL = time.Minute
	// leaveTimeout bounds a graceful stop.
	leaveTimeout = 60 * time.Second
	// newWorkGrace is how long after it began to leave a daemon may still get new work.
	newWorkGrace = 3 * time.Second
	// drainPollInterval is how often a leaving daemon checks what is in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Daemon is one running daemon.
type Daemon struct {
	cfg *config.Config
	log *logrus.Entry

	gate         *admit.Gate
	table        *route.Table
	shares       *allow.CostEstimator
	budgets      *allow.Budgets
	actions      *allow.AccountCache
	tickets      *ticket.Issuer
	quarantine   *poison.Registry
	burnRecorder *burn.Recorder
	holder       *policy.Holder
	registry     *policy.Registry
	node         *member.Node
	peers        *peer.Client
	backend      *server.Client
	platform     *store.Client
	stats        *stats.Set
	guard        *guard.Guard
	claims       *rate.Limiter
	runs         *runs
	dependencies *dependencySet
	adapter      Adapter
	front        *front.Front
	httpServers  []boundServer
	// stopConfig holds the times of a stop, which a reload may change.
	stopConfig atomic.Pointer[config.Front]
	keeper     *life.Tracker
	peerPool   *httpc.Pool
	serverPool *httpc.Pool
	crashes    crashCounter
	suspectSem chan struct{}

	incarnation  uint64
	leaving      atomic.Bool
	closing      atomic.Bool
	leavingSince atomic.Int64
	serverDown   atomic.Bool
	joined       atomic.Bool
	inflight     atomic.Int64
	routesStale  chan struct{}
	pulls        chan pullSource
	udpSocket    *net.UDPConn
	drpcListener net.Listener
	httpListener net.Listener
	leaseMu      sync.Mutex
	lease        claimLease
}

// New opens the sockets and prepares a daemon on the platform that links
// names.
func New(cfg *config.Config, log *logrus.Entry, links Adapter) (*Daemon, error) {
	started := time.Now()
	d := &Daemon{
		cfg:          cfg,
		log:          log,
		adapter:      links,
		incarnation:  uint64(started.UnixMilli()),
		gate:         admit.New(admit.Config{Slots: cfg.Slots, WarmUp: cfg.WarmUp, Mode: cfg.Mode, Now: time.Now}),
		table:        route.New(cfg.ID, cfg.Zone, time.Now),
		shares:       allow.NewCostEstimator(),
		budgets:      allow.NewBudgets(allow.RatioSafetyFactor*cfg.RetryRatio, allow.DefaultMinRetries, time.Now),
		actions:      allow.NewAccountCache(actionTTL, time.Now),
		burnRecorder: burn.New(time.Now),
		peers:        peer.New(peer.Config{LocalAddr: cfg.Addr.Addr(), MaxIdleConns: maxIdleDRPCConns, IdleTimeout: drpcIdleTimeout}),
		backend:      server.New(cfg.ServerAddr, cfg.MaxConnections),
		stats:        stats.New(),
		claims:       rate.NewLimiter(rate.Limit(cfg.ClaimRate), int(cfg.ClaimRate)),
		runs:         newRuns(),
		dependencies: newDependencySet(),
		suspectSem:   make(chan struct{}, 1),
		routesStale:  make(chan struct{}, 1),
		pulls:        make(chan pullSource, 1),
	}
	d.guard = guard.New(log, d.stats.Panic)
	monotonic := func() time.Duration { return time.Since(started) }
	d.stopConfig.Store(&cfg.Front)
	d.tickets = ticket.NewIssuer(cfg.ID, rand.Uint64(), cfg.TicketTTL, monotonic)
	d.quarantine = poison.New(time.Now, d.quarantineChanged)
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
	if !d.cfg.PlatformAddr.IsValid() {
		return
	}
	d.platform = store.New(d.adapter.StoreTransport(d.cfg.PlatformAddr), store.RateLimits{Reads: d.cfg.ReadRate, Writes: d.cfg.WriteRate})
	d.registry = &policy.Registry{Get: d.platform.Get, Put: d.platform.Put, Now: time.Now, Sleep: sleep}
}

func (d *Daemon) listen() error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.cfg.Addr))
	if err != nil {
		return errors.Wrapf(err, "listen on udp %s", d.cfg.Addr)
	}
	d.udpSocket = udp
	if d.drpcListener, err = net.Listen("tcp", d.cfg.Addr.String()); err != nil {
		return errors.Wrapf(err, "listen on tcp %s", d.cfg.Addr)
	}
	if d.httpListener, err = net.Listen("tcp", d.cfg.HTTPAddr.String()); err != nil {
		return errors.Wrapf(err, "listen on tcp %s", d.cfg.HTTPAddr)
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
	web := d.connectServer()
	g.Go(func() error { return d.node.Run(inner) })
	g.Go(func() error { return d.peerServer().Serve(inner, d.drpcListener) })
	g.Go(func() error { return serveHTTP(web, d.httpListener) })
	g.Go(func() error { return d.guard.Loop(inner, "tick", d.tickLoop) })
	g.Go(func() error { return d.guard.Loop(inner, "routes", d.routeLoop) })
	if d.front != nil {
		d.runFront(inner, g)
	} else {
		g.Go(func() error { return d.guard.Loop(inner, "health", d.healthLoop) })
	}
	finder := d.newFinder()
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
	d.log.WithFields(logrus.Fields{"addr": d.cfg.Addr, "http": d.cfg.HTTPAddr, "service": d.cfg.Service}).Info("started")
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
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	sleep(ctx, d.cfg.LeaveDelay)
	for d.inflight.Load() > 0 && sleep(ctx, drainPollInterval) {
	}
	err := web.Shutdown(ctx)
	for d.inflight.Load() > 0 && sleep(ctx, drainPollInterval) {
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
	d.leavingSince.Store(time.Now().UnixNano())
	d.log.WithField("inflight", d.inflight.Load()).Info("leaving")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
}

// leavingFor returns how long before at the daemon began to leave, 0 when it
// did not.
func (d *Daemon) leavingFor(at time.Time) time.Duration {
	began := d.leavingSince.Load()
	if began == 0 {
		return 0
	}
	return at.Sub(time.Unix(0, began))
}

// trackCall counts a call in flight until the returned function is called.
func (d *Daemon) trackCall() func() {
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
