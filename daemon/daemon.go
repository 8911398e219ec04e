// Package daemon implements the sidecar process that runs beside each backend
// server.
//
// A Daemon has three roles. As an entry it accepts calls from callers. As the
// ingress of its backend server it applies admission control and runs calls
// on that server. As the egress of its backend server it forwards the
// downstream calls that the server makes. Entry and egress share the
// forwarding code in forward.go, which sends calls to the ingress of another
// daemon, in ingress.go.
//
//	caller --connect--> entry --drpc--> ingress --connect--> backend server
//	                                            egress <--connect-- downstream calls
//
// A Daemon also takes part in the membership protocol, tracks the policy in
// force, the quarantine and the SLO burn report, and serves the operator API.
//
//	d, err := daemon.New(cfg, log, adapter)
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
	"sycamorespread.dev/clock"
	"sycamorespread.dev/config"
	"sycamorespread.dev/fresh"
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
	"sycamorespread.dev/seed"
	"sycamorespread.dev/server"
	"sycamorespread.dev/stats"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

const (
	// maxIdleDRPCConns bounds the idle drpc connections to one peer.
	maxIdleDRPCConns = 64
	// drpcIdleTimeout is how long an idle drpc connection is kept.
	drpcIdleTimeout = 10 * time.Minute
	// actionTTL is how long the entry keeps the allowance account of an action.
	actionTTL = time.Minute
	// leaveTimeout bounds a graceful shutdown.
	leaveTimeout = 60 * time.Second
	// newWorkGrace is how long a leaving daemon may still receive new calls.
	newWorkGrace = 3 * time.Second
	// drainPollInterval is the time between two checks for calls in flight while the daemon leaves.
	drainPollInterval = 20 * time.Millisecond
	// entryLogInterval is the minimum time between two log lines about invalid member entries.
	entryLogInterval = 10 * time.Second
)

// Daemon is the sidecar of one backend server.
type Daemon struct {
	cfg *config.Config
	log *logrus.Entry

	gate         *admit.Gate
	table        *route.Table
	costs        *allow.CostEstimator
	budgets      *allow.Budgets
	actions      *allow.AccountCache
	tickets      *ticket.Issuer
	quarantine   *poison.Registry
	burnRecorder *burn.Recorder
	policyHolder *policy.Holder
	confirmed    *fresh.Tracker
	// clock also runs while the machine is suspended.
	clock        func() time.Time
	registry     *policy.Registry
	node         *member.Node
	finder       *seed.Finder
	peers        *peer.Client
	backend      *server.Client
	platform     *store.Client
	stats        *stats.Set
	guard        *guard.Guard
	claimLimiter *rate.Limiter
	runs         *runs
	dependencies *dependencySet
	adapter      Adapter
	front        *front.Front
	httpServers  []boundServer
	// stopConfig holds the shutdown delay and timeout; ReloadLoop may replace them.
	stopConfig    atomic.Pointer[config.Front]
	serverTracker *life.Tracker
	services      services
	peerPool      *httpc.Pool
	serverPool    *httpc.Pool
	crashes       crashCounter
	suspectSem    chan struct{}

	incarnation uint64
	leaving     atomic.Bool
	closing     atomic.Bool
	refusing    atomic.Bool
	// stopEnd is when a stop of the HTTP interface ends at the latest, nil before one.
	stopEnd      atomic.Pointer[time.Time]
	leavingSince atomic.Int64
	serverDown   atomic.Bool
	joined       atomic.Bool
	// statedEra is the latest era of the store that a member stated.
	statedEra    atomic.Uint64
	inflight     atomic.Int64
	acceptLog    rate.Sometimes
	entryLog     rate.Sometimes
	routesStale  chan struct{}
	puller       *puller
	udpSocket    *net.UDPConn
	drpcListener net.Listener
	httpListener net.Listener
	leaseMu      sync.Mutex
	lease        claimLease
}

// New returns a daemon with its sockets open. adapter connects it to the
// platform that it runs on.
func New(cfg *config.Config, log *logrus.Entry, adapter Adapter) (*Daemon, error) {
	started := time.Now()
	suspendClock, err := clock.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		cfg:          cfg,
		log:          log,
		adapter:      adapter,
		incarnation:  uint64(started.UnixMilli()),
		gate:         admit.New(admit.Config{Slots: cfg.Slots, WarmUp: cfg.WarmUp, Mode: cfg.Mode, Now: time.Now}),
		table:        route.New(cfg.ID, cfg.Zone, time.Now),
		costs:        allow.NewCostEstimator(),
		budgets:      allow.NewBudgets(allow.RatioSafetyFactor*cfg.RetryRatio, allow.DefaultMinRetries, time.Now),
		actions:      allow.NewAccountCache(actionTTL, time.Now),
		burnRecorder: burn.New(time.Now),
		peers:        peer.New(peer.Config{LocalAddr: cfg.Addr.Addr(), MaxIdleConns: maxIdleDRPCConns, IdleTimeout: drpcIdleTimeout}),
		backend:      server.New(cfg.ServerAddr, cfg.MaxConnections),
		stats:        stats.New(),
		claimLimiter: rate.NewLimiter(rate.Limit(cfg.ClaimRate), int(cfg.ClaimRate)),
		runs:         newRuns(),
		dependencies: newDependencySet(),
		clock:        suspendClock,
		acceptLog:    rate.Sometimes{Interval: acceptLogInterval},
		entryLog:     rate.Sometimes{Interval: entryLogInterval},
		suspectSem:   make(chan struct{}, 1),
		routesStale:  make(chan struct{}, 1),
	}
	d.guard = guard.New(log, d.stats.Panic)
	monotonic := func() time.Duration { return time.Since(started) }
	d.stopConfig.Store(&cfg.Front)
	d.tickets = ticket.NewIssuer(cfg.ID, rand.Uint64(), cfg.TicketTTL, monotonic)
	d.quarantine = poison.New(time.Now, d.quarantineChanged)
	if err := d.loadPolicy(); err != nil {
		return nil, err
	}
	d.puller = newPuller(d.policyHolder.Revision, d.pullGuarded)
	d.confirmed = fresh.New(fresh.Config{MaxAge: scale(cfg.PolicyDelay, policyAgeRatio), Revision: d.policyHolder.Revision, Now: d.clock, Log: log})
	d.openPlatform()
	return d, d.listen()
}

// loadPolicy loads the policy file if the settings name one.
func (d *Daemon) loadPolicy() error {
	d.policyHolder = policy.NewHolder(nil)
	if d.cfg.PolicyFile == "" {
		return nil
	}
	p, err := readPolicy(d.cfg.PolicyFile)
	if err != nil {
		return errors.Wrapf(err, "load policy file %s", d.cfg.PolicyFile)
	}
	d.policyHolder = policy.NewHolder(p)
	return nil
}

func (d *Daemon) openPlatform() {
	if !d.cfg.PlatformAddr.IsValid() {
		return
	}
	d.platform = store.New(d.adapter.StoreTransport(d.cfg.PlatformAddr), store.RateLimits{Reads: d.cfg.ReadRate, Writes: d.cfg.WriteRate})
	d.platform.OnRestored = d.storeRestored
	d.registry = &policy.Registry{Get: d.platform.Get, Put: d.platform.Put, Now: time.Now, Sleep: sleep}
}

// storeRestored logs that the store was restored from a copy, and writes the seed
// record again, which the copy may not have.
func (d *Daemon) storeRestored(from, to uint64) {
	revision := d.policyHolder.Revision()
	age, known := d.confirmed.Age(revision)
	d.log.WithFields(logrus.Fields{"era": to, "before": from, "revision": revision, "known": known, "age_ms": age.Milliseconds()}).Warn("platform store was restored from a copy")
	d.finder.ReportLost()
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
	d.finder = d.newFinder()
	if d.cfg.Front.Enabled() {
		return d.openFront()
	}
	return nil
}

// Run serves until ctx ends. It then announces that the daemon is leaving,
// completes the calls in flight and stops. It returns nil after a graceful
// shutdown.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, inner := errgroup.WithContext(inner)
	srv := d.connectServer()
	g.Go(func() error { return d.node.Run(inner) })
	g.Go(func() error { return d.peerServer().Serve(inner, d.drpcListener) })
	g.Go(func() error { return serveHTTP(srv, d.httpListener) })
	g.Go(func() error { return d.guard.Loop(inner, "tick", d.tickLoop) })
	g.Go(func() error { return d.guard.Loop(inner, "routes", d.routeLoop) })
	if d.front != nil {
		d.runFront(inner, g)
	} else {
		g.Go(func() error { return d.guard.Loop(inner, "health", d.healthLoop) })
	}
	g.Go(func() error { return d.guard.Loop(inner, "join", d.finder.Join) })
	if d.platform != nil {
		g.Go(func() error { return d.guard.Loop(inner, "seed", d.finder.MaintainSeed) })
		g.Go(func() error { return d.guard.Loop(inner, "confirm", d.confirmLoop) })
	}
	g.Go(func() error { return d.guard.Loop(inner, "watch", d.watchLoop) })
	g.Go(func() error { return d.guard.Loop(inner, "pull", d.puller.run) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return srv.Close()
		}
		err := d.leave(srv)
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

// leave announces the shutdown, waits for the calls in flight and closes srv.
func (d *Daemon) leave(srv *http.Server) error {
	if d.front != nil {
		d.leaveFront()
		return srv.Close()
	}
	d.startLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	sleep(ctx, d.cfg.LeaveDelay)
	for d.inflight.Load() > 0 && sleep(ctx, drainPollInterval) {
	}
	err := srv.Shutdown(ctx)
	for d.inflight.Load() > 0 && sleep(ctx, drainPollInterval) {
	}
	invar.Check(d.runs.len() == 0 || ctx.Err() != nil, "graceful", action.ID{}, "%d runs are aborted by a graceful shutdown", d.runs.len())
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.State = sycapb.MemberState_MEMBER_STATE_LEFT })
	d.log.WithField("inflight", d.inflight.Load()).Info("left")
	return errors.Wrap(err, "shut down connect server")
}

// startLeaving makes the daemon refuse new calls and announces to the members
// that it is leaving.
func (d *Daemon) startLeaving() {
	if d.leaving.Swap(true) {
		return
	}
	d.leavingSince.Store(time.Now().UnixNano())
	d.log.WithField("inflight", d.inflight.Load()).Info("leaving")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
}

// leavingFor returns how long the daemon has been leaving at the given time, 0
// if it is not leaving.
func (d *Daemon) leavingFor(at time.Time) time.Duration {
	since := d.leavingSince.Load()
	if since == 0 {
		return 0
	}
	return at.Sub(time.Unix(0, since))
}

// trackCall counts a call as in flight until the returned function is called.
func (d *Daemon) trackCall() func() {
	d.inflight.Add(1)
	return func() { d.inflight.Add(-1) }
}

// tickLoop runs all tasks with short intervals in one loop, since on an idle
// daemon each wake-up costs more than the tasks themselves.
func (d *Daemon) tickLoop(ctx context.Context) error {
	const interval = min(admit.TickInterval, front.PeerCheckInterval)
	t := time.NewTicker(interval)
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

// sleep waits for dur or the end of ctx and reports whether dur has elapsed.
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
