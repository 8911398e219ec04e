package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/platform"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/runlog"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	soakUpper = "upper"
	soakLower = "lower"
	soakBase  = "base"
	soakZones = 3
	// soakRecoveryTime is the time without faults at the end of a run. The success ratio is measured
	// in the last soakMeasuredTime of it.
	soakRecoveryTime = 14 * time.Second
	soakMeasuredTime = 4 * time.Second
	// soakMinSuccessRatio is the minimum ratio of successful requests in soakMeasuredTime.
	soakMinSuccessRatio = 0.95
	// soakRequestTimeout is the timeout of a caller's request.
	soakRequestTimeout = 2 * time.Second
	// oncePath is the part of a path that all non-idempotent requests have, downstream calls too.
	oncePath = "/pay/"
)

// serverAnswer identifies what a backend server answered to a request.
type serverAnswer struct {
	request string
	status  int
}

// soak is one randomized run of the real programs under faults that are injected from outside.
type soak struct {
	c    *cluster
	seed uint64
	// rng determines the fault schedule; only injectFaults uses it.
	rng        *rand.Rand
	instances  []*soakInstance
	storeProxy *faultProxy
	// faults are the kinds of faults to inject.
	faults []soakFault
	// deep is set if the lower service calls a third one, the base.
	deep bool
	// long is set if callers also send uploads with long bodies.
	long   bool
	client *store.Client
	// log records the traffic and the faults.
	log    *runlog.Recorder
	g      errgroup.Group
	cancel context.CancelFunc
	// policyMu is held while a version is written, so that versions only rise.
	policyMu sync.Mutex

	mu            sync.Mutex
	runs          map[string]int
	nonIdempotent map[string]bool
	// shed holds the statuses that promised a caller that a request did not run.
	shed map[string]int
	// answers are the complete responses of backend servers that ran a request.
	answers    map[serverAnswer]bool
	violations []string
	// broken counts the violations by invariant.
	broken map[string]int
	// gateway is the number of requests of callers that got 502.
	gateway   int
	sent      int
	served    int
	measured  [2]int
	measuring bool
	version   uint64
	// acked is the latest version that the store has acknowledged.
	acked uint64
}

func soakCommand(bin, dir *string) *cobra.Command {
	var seed uint64
	var dur time.Duration
	var size int
	var deep, long bool
	var runFile string
	cmd := &cobra.Command{Use: "soak", Short: "Inject random faults into the programs on the users' platform", Args: cobra.NoArgs}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the fault schedule")
	cmd.Flags().DurationVar(&dur, "duration", 40*time.Second, "duration of the run after its first fault-free seconds, with the fault-free time at its end")
	cmd.Flags().IntVar(&size, "size", 9, "instances")
	cmd.Flags().BoolVar(&deep, "deep", false, "three services that call each other, with unsound servers and a store that is restored from copies")
	cmd.Flags().BoolVar(&long, "long", false, "uploads with long bodies, servers that answer them early or in half, and heartbeats of other writers")
	cmd.Flags().StringVar(&runFile, "run", "", "file to which the run is logged, for sycload report")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := newSoak(&cluster{opt: options{bin: *bin, dir: *dir, runFile: runFile}}, seed)
		if deep {
			s.deep, s.faults = true, append(s.faults, soakDeepFaults...)
		}
		if long {
			s.long, s.faults = true, append(s.faults, soakLongFaults...)
		}
		return s.run(cmd.Context(), dur, size)
	}
	return cmd
}

func newSoak(c *cluster, seed uint64) *soak {
	return &soak{
		c: c, seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), runs: map[string]int{}, nonIdempotent: map[string]bool{}, shed: map[string]int{},
		answers: map[serverAnswer]bool{}, broken: map[string]int{}, faults: soakFaults,
	}
}

// recordViolation records that an invariant does not hold.
func (s *soak) recordViolation(invariant, request, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addViolation(invariant, request, detail)
}

// addViolation requires s.mu.
func (s *soak) addViolation(invariant, request, detail string) {
	s.broken[invariant]++
	s.violations = append(s.violations, fmt.Sprintf("promise=%s request=%s %s", invariant, request, detail))
}

// recordAnswer records how a backend server is about to answer a request that it ran.
func (s *soak) recordAnswer(request string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[serverAnswer{request, status}] = true
}

// recordRun records that a backend server began to run a request. once is set for a request that
// must run at most once.
func (s *soak) recordRun(request string, once bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request]++
	if once {
		s.nonIdempotent[request] = true
	}
}

func (s *soak) run(ctx context.Context, dur time.Duration, size int) error {
	if err := os.MkdirAll(s.c.opt.dir, 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the soak")
	}
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.shutdown()
	if err := s.start(ctx, size); err != nil {
		return err
	}
	began := time.Now().Add(soakWarmupTime)
	end := began.Add(soakBaselineTime + dur)
	s.log = runlog.NewRecorder(s.name(), s.seed, began)
	s.g.Go(func() error {
		sleepFor(ctx, time.Until(began)+soakBaselineTime)
		return s.injectFaults(ctx, end.Add(-soakRecoveryTime))
	})
	s.g.Go(func() error { return s.watchStalls(ctx, began) })
	s.startCallers(ctx)
	for _, n := range s.instances {
		s.g.Go(func() error { return s.watchRevision(ctx, n) })
	}
	sleepFor(ctx, time.Until(end)-soakMeasuredTime)
	s.setMeasuring(true)
	sleepFor(ctx, time.Until(end))
	s.setMeasuring(false)
	s.checkServed(end)
	s.checkInForce(ctx)
	return s.evaluate()
}

func (s *soak) setMeasuring(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measuring = on
}

// start starts the store, its fault proxy, the backend servers and the daemons.
func (s *soak) start(ctx context.Context, size int) error {
	var err error
	if s.c.store, err = s.c.spawn("store", "stand", "store", "--addr", storeAddr().String()); err != nil {
		return err
	}
	s.client = store.New(platform.NewTransport(storeAddr()), store.RateLimits{Reads: 1000, Writes: 1000})
	s.storeProxy, err = s.startProxy(ctx, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, runOctet, 0, 1}), relayPort), storeAddr())
	if err != nil {
		return err
	}
	for i := range size {
		if err := s.addInstance(ctx, i); err != nil {
			return err
		}
	}
	for began := time.Now(); ; sleepFor(ctx, pollInterval) {
		if err = s.writePolicy(ctx); err == nil {
			break
		}
		if time.Since(began) > startTimeout {
			return err
		}
	}
	for _, n := range s.instances {
		if err := s.startDaemon(n); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

func (s *soak) startProxy(ctx context.Context, addr, target netip.AddrPort) (*faultProxy, error) {
	d, err := newFaultProxy(addr, target)
	if err != nil {
		return nil, err
	}
	s.g.Go(func() error { return d.serve(ctx) })
	return d, nil
}

// addInstance adds an instance, with its fault proxies and its backend server, and without its daemon.
func (s *soak) addInstance(ctx context.Context, i int) error {
	n := &soakInstance{service: soakUpper, zone: fmt.Sprintf("z%d", i%soakZones), ip: netip.AddrFrom4([4]byte{127, runOctet, 9, byte(i + 1)})}
	switch {
	case s.deep:
		n.service = []string{soakUpper, soakLower, soakBase}[i/soakZones%3]
	case i%2 == 1:
		n.service = soakLower
	}
	n.id = fmt.Sprintf("%s-%d", n.service, i)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }
	n.serverAddr, n.serverProxyAddr, n.outboundAddr, n.inboundAddr, n.inboundProxyAddr, n.controlAddr, n.operatorAddr = at(17201), at(17202), at(17203), at(17204), at(17205), at(17206), at(17207)
	n.server = &soakServer{s: s, instance: n, headers: platform.Headers(), http: &http.Client{}}
	var err error
	if n.serverProxy, err = s.startProxy(ctx, n.serverProxyAddr, n.serverAddr); err != nil {
		return err
	}
	if n.inboundProxy, err = s.startProxy(ctx, n.inboundProxyAddr, n.inboundAddr); err != nil {
		return err
	}
	if err := n.server.start(); err != nil {
		return err
	}
	s.g.Go(func() error { return n.server.reportLoop(ctx) })
	s.instances = append(s.instances, n)
	return nil
}

// startDaemon writes the settings of an instance's daemon and starts it.
func (s *soak) startDaemon(n *soakInstance) error {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }
	text := fmt.Sprintf("[daemon]\nid = %s\nregion = r\nzone = %s\naddr = %s\nhttp = %s\n[front]\noutbound = %s\ninbound = %s\nadvertise = %s\nready = %s\ncontrol = %s\n"+
		"stop_wait = 500ms\n[platform]\naddr = %s\n[server]\nservice = %s\naddr = %s\n[control]\nretry_ratio = 0.2\nretry_slack = 49\n",
		n.id, n.zone, at(17200), n.operatorAddr, n.outboundAddr, n.inboundAddr, n.inboundProxyAddr, at(17208), n.controlAddr, s.storeProxy.addr, n.service, n.serverProxyAddr)
	file := filepath.Join(s.c.opt.dir, n.id+".ini")
	if err := writeSettings(file, text); err != nil {
		return err
	}
	p, err := s.c.spawn(n.id, "sycd", "run", file)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemon, n.startedAt, n.disturbedAt = p, time.Now(), time.Now()
	return nil
}

// writePolicy writes the next version of the configuration.
func (s *soak) writePolicy(ctx context.Context) error {
	s.policyMu.Lock()
	defer s.policyMu.Unlock()
	s.mu.Lock()
	s.version += 1 + uint64(rand.IntN(3))
	version := s.version
	s.mu.Unlock()
	rule := func(name, prefix, service string, rank uint32, idempotent bool) policy.Route {
		return policy.Route{
			Name: name, Host: "h.example", Prefix: prefix, Rank: rank, Idempotent: idempotent, MaxAttempts: 2,
			Timeout: 1500 * time.Millisecond, TargetLatency: 500 * time.Millisecond, WeightedServices: []policy.WeightedService{{Service: service, Weight: 1}},
		}
	}
	t, err := policy.NewTable([]policy.Route{
		rule("view", "/view/", soakUpper, 2, true), rule("pay", "/pay/", soakUpper, 0, false), rule("deep", "/deep/", soakLower, 1, true),
		rule("base", "/base/", soakBase, 1, true), rule("deep-pay", "/deep/pay/", soakLower, 0, false), rule("base-pay", "/base/deep/pay/", soakBase, 0, false),
	}, []policy.Service{
		{Name: soakUpper, HealthPath: "/health", MaxConnections: 100},
		{Name: soakLower, HealthPath: "/health", MaxConnections: 100},
		{Name: soakBase, HealthPath: "/health", MaxConnections: 100},
	}, policy.Limits{})
	if err != nil {
		return err
	}
	text, err := platform.EncodePolicy(version, t)
	if err != nil {
		return err
	}
	item, err := s.client.Get(ctx, platform.PolicyKey)
	if err != nil {
		return err
	}
	put, err := s.client.Put(ctx, platform.PolicyKey, []byte(text), item.Revision, store.Lease{})
	if err != nil {
		return err
	}
	if !put.Swapped {
		return errors.New("another version was written at the same time")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = max(s.acked, version)
	return nil
}

// checkInForce checks that the latest acknowledged version is in force at every daemon.
func (s *soak) checkInForce(ctx context.Context) {
	s.mu.Lock()
	want := s.acked
	s.mu.Unlock()
	for _, n := range s.instances {
		op := sycapb.NewOperatorClient(&http.Client{Timeout: startTimeout}, "http://"+n.operatorAddr.String())
		r, err := op.Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
		if err != nil {
			s.recordViolation("in force", n.id, err.Error())
		} else if r.Msg.Revision < want {
			s.recordViolation("in force", n.id, fmt.Sprintf("revision %d, %d was acknowledged", r.Msg.Revision, want))
		}
	}
}

// awaitReady waits until every instance has served a request.
func (s *soak) awaitReady(ctx context.Context) error {
	h := &http.Client{}
	for i, n := range s.instances {
		start := time.Now()
		for k := 0; s.send(ctx, h, n.outboundAddr, "/view/start", fmt.Sprintf("start-%d-%d", i, k), "").status != http.StatusOK; k++ {
			if time.Since(start) > startTimeout {
				return errors.Errorf("daemon %s served no request within %s", n.id, startTimeout)
			}
			sleepFor(ctx, pollInterval)
		}
	}
	return nil
}

// watchRevision checks that the revision in force at a daemon never decreases while its process
// lives.
func (s *soak) watchRevision(ctx context.Context, n *soakInstance) error {
	op := sycapb.NewOperatorClient(&http.Client{Timeout: time.Second}, "http://"+n.operatorAddr.String())
	var last uint64
	var since time.Time
	for sleepFor(ctx, 300*time.Millisecond) {
		n.mu.Lock()
		now := n.startedAt
		n.mu.Unlock()
		r, err := op.Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
		n.mu.Lock()
		same := n.startedAt.Equal(now)
		n.mu.Unlock()
		if err != nil || !same {
			continue
		}
		if since.Equal(now) && r.Msg.Revision < last {
			s.recordViolation("revision", n.id, fmt.Sprintf("revision %d after %d", r.Msg.Revision, last))
		}
		last, since = r.Msg.Revision, now
	}
	return nil
}

// evaluate checks the invariants over the whole run and prints the summary.
func (s *soak) evaluate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reruns, requests := 0, 0
	for id, n := range s.runs {
		requests++
		reruns += n - 1
		if s.nonIdempotent[id] && n > 1 {
			s.addViolation("once", id, fmt.Sprintf("ran %d times", n))
		}
		if status, ok := s.shed[id]; ok && s.nonIdempotent[id] {
			s.addViolation("notrun", id, fmt.Sprintf("was answered %d and ran", status))
		}
	}
	if s.measured[0] == 0 || float64(s.measured[1]) < soakMinSuccessRatio*float64(s.measured[0]) {
		s.addViolation("recovery", "-", fmt.Sprintf("%d of %d requests served at the end", s.measured[1], s.measured[0]))
	}
	fmt.Printf("soak: asked=%d served=%d got502=%d runs=%d again=%d last=%d/%d broken=%d %v\n",
		s.sent, s.served, s.gateway, requests, reruns, s.measured[1], s.measured[0], len(s.violations), s.broken)
	if len(s.violations) == 0 {
		return nil
	}
	for _, f := range s.violations[:min(len(s.violations), 20)] {
		fmt.Println(f)
	}
	return errors.Errorf("%d promises broken; logs in %s", len(s.violations), s.c.opt.dir)
}

// shutdown kills the processes that the soak started, by their process IDs.
func (s *soak) shutdown() {
	s.cancel()
	for _, n := range s.instances {
		n.faultMu.Lock()
		s.kill(n.daemon)
		n.server.crash()
		n.faultMu.Unlock()
	}
	s.kill(s.c.store)
	_ = s.g.Wait()
}

func (s *soak) kill(p *process) {
	if p == nil {
		return
	}
	// The error means that the process has exited already.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}
