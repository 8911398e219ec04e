package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/platform"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	soakUpper = "upper"
	soakLower = "lower"
	soakZones = 3
	// soakCallers is the number of callers at each instance.
	soakCallers = 2
	// soakPause is the pause of a caller between two requests.
	soakPause = 15 * time.Millisecond
	// soakQuiet is the time without faults before the end, in the last soakJudged of which callers must be served.
	soakQuiet  = 14 * time.Second
	soakJudged = 4 * time.Second
	// soakServed is the least share of requests that must then be served.
	soakServed = 0.95
	// soakPatience is how long a caller waits.
	soakPatience = 2 * time.Second
)

// soak is one randomized run of the real programs under faults from outside.
type soak struct {
	c      *cluster
	rnd    *rand.Rand
	nodes  []*soakNode
	store  *door
	client *store.Client
	g      errgroup.Group
	stop   context.CancelFunc

	mu      sync.Mutex
	runs    map[string]int
	pays    map[string]bool
	refused map[string]string
	faults  []string
	asked   int
	served  int
	judged  [2]int
	judging bool
	version uint64
}

func soakCommand(bin, dir *string) *cobra.Command {
	var seed uint64
	var dur time.Duration
	var size int
	cmd := &cobra.Command{Use: "soak", Short: "Randomized faults against the programs on the users' platform", Args: cobra.NoArgs}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the schedule")
	cmd.Flags().DurationVar(&dur, "duration", 40*time.Second, "time with faults and the quiet end")
	cmd.Flags().IntVar(&size, "size", 9, "instances")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := newSoak(&cluster{opt: options{bin: *bin, dir: *dir}}, seed)
		return s.run(cmd.Context(), dur, size)
	}
	return cmd
}

func newSoak(c *cluster, seed uint64) *soak {
	return &soak{
		c: c, rnd: rand.New(rand.NewPCG(seed, seed)), runs: map[string]int{}, pays: map[string]bool{}, refused: map[string]string{},
	}
}

// broke records a broken promise.
func (s *soak) broke(promise, request, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("promise=%s request=%s %s", promise, request, detail))
}

// ran notes that a backend server began to run a request.
func (s *soak) ran(request string, once bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request]++
	if once {
		s.pays[request] = true
	}
}

func (s *soak) run(ctx context.Context, dur time.Duration, size int) error {
	if err := os.MkdirAll(s.c.opt.dir, 0o755); err != nil {
		return errors.Wrap(err, "folder of the soak")
	}
	ctx, s.stop = context.WithCancel(ctx)
	defer s.end()
	if err := s.start(ctx, size); err != nil {
		return err
	}
	end := time.Now().Add(dur)
	s.g.Go(func() error { return s.disturb(ctx, end.Add(-soakQuiet)) })
	for i, n := range s.nodes {
		for k := range soakCallers {
			s.g.Go(func() error { return s.caller(ctx, n, fmt.Sprintf("c%d-%d", i, k)) })
		}
		s.g.Go(func() error { return s.watchRevision(ctx, n) })
	}
	sleepFor(ctx, time.Until(end)-soakJudged)
	s.judge(true)
	sleepFor(ctx, time.Until(end))
	s.judge(false)
	return s.verdict()
}

func (s *soak) judge(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judging = on
}

// start brings up the store, its door, the backend servers and the daemons.
func (s *soak) start(ctx context.Context, size int) error {
	var err error
	if s.c.store, err = s.c.spawn("store", "stand", "store", "--addr", storeAddr().String()); err != nil {
		return err
	}
	s.client = store.New(platform.NewTransport(storeAddr()), store.RateLimits{Reads: 1000, Writes: 1000})
	s.store, err = s.open(ctx, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, runNet, 0, 1}), relayPort), storeAddr())
	if err != nil {
		return err
	}
	for i := range size {
		if err := s.add(ctx, i); err != nil {
			return err
		}
	}
	for began := time.Now(); ; sleepFor(ctx, pollEvery) {
		if err = s.configure(ctx); err == nil {
			break
		}
		if time.Since(began) > startWait {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := s.launch(n); err != nil {
			return err
		}
	}
	return s.awaitServed(ctx)
}

func (s *soak) open(ctx context.Context, at, to netip.AddrPort) (*door, error) {
	d, err := newDoor(at, to)
	if err != nil {
		return nil, err
	}
	s.g.Go(func() error { return d.serve(ctx) })
	return d, nil
}

// add prepares an instance with its doors and its backend server.
func (s *soak) add(ctx context.Context, i int) error {
	n := &soakNode{service: soakUpper, zone: fmt.Sprintf("z%d", i%soakZones), ip: netip.AddrFrom4([4]byte{127, runNet, 9, byte(i + 1)})}
	if i%2 == 1 {
		n.service = soakLower
	}
	n.id = fmt.Sprintf("%s-%d", n.service, i)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }
	n.app, n.seen, n.out, n.in, n.inDoor, n.control, n.operate = at(17201), at(17202), at(17203), at(17204), at(17205), at(17206), at(17207)
	n.server = &soakApp{s: s, node: n, names: platform.Headers(), http: &http.Client{}}
	var err error
	if n.appDoor, err = s.open(ctx, n.seen, n.app); err != nil {
		return err
	}
	if n.hopDoor, err = s.open(ctx, n.inDoor, n.in); err != nil {
		return err
	}
	if err := n.server.start(); err != nil {
		return err
	}
	s.g.Go(func() error { return n.server.beats(ctx) })
	s.nodes = append(s.nodes, n)
	return nil
}

// launch starts the daemon of an instance.
func (s *soak) launch(n *soakNode) error {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }
	text := fmt.Sprintf("[daemon]\nid = %s\nregion = r\nzone = %s\naddr = %s\nhttp = %s\n[front]\noutbound = %s\ninbound = %s\nadvertise = %s\nready = %s\ncontrol = %s\n"+
		"stop_wait = 500ms\n[platform]\naddr = %s\n[server]\nservice = %s\naddr = %s\n[control]\nretry_ratio = 0.2\nretry_slack = 49\n",
		n.id, n.zone, at(17200), n.operate, n.out, n.in, n.inDoor, at(17208), n.control, s.store.at, n.service, n.seen)
	file := filepath.Join(s.c.opt.dir, n.id+".ini")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "daemon settings")
	}
	p, err := s.c.spawn(n.id, "sycd", "run", file)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemon, n.since = p, time.Now()
	return nil
}

// configure writes the next version of the configuration.
func (s *soak) configure(ctx context.Context) error {
	s.mu.Lock()
	s.version += 1 + uint64(s.rnd.IntN(3))
	version := s.version
	s.mu.Unlock()
	rule := func(name, prefix, service string, rank uint32, again bool) policy.Route {
		return policy.Route{
			Name: name, Host: "h.example", Prefix: prefix, Rank: rank, Idempotent: again, MaxAttempts: 2,
			Timeout: 1500 * time.Millisecond, TargetLatency: 500 * time.Millisecond, WeightedServices: []policy.WeightedService{{Service: service, Weight: 1}},
		}
	}
	t, err := policy.NewTable([]policy.Route{
		rule("view", "/view/", soakUpper, 2, true), rule("pay", "/pay/", soakUpper, 0, false), rule("deep", "/deep/", soakLower, 1, true),
	}, []policy.Service{{Name: soakUpper, HealthPath: "/health", MaxConnections: 100}, {Name: soakLower, HealthPath: "/health", MaxConnections: 100}}, policy.Limits{})
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
	_, err = s.client.Put(ctx, platform.PolicyKey, []byte(text), item.Revision, 0)
	return err
}

// awaitServed waits until each instance serves a request.
func (s *soak) awaitServed(ctx context.Context) error {
	h := &http.Client{}
	for i, n := range s.nodes {
		start := time.Now()
		for k := 0; s.ask(ctx, h, n.out, "/view/start", fmt.Sprintf("start-%d-%d", i, k), "").status != http.StatusOK; k++ {
			if time.Since(start) > startWait {
				return errors.Errorf("daemon %s serves nothing after %s", n.id, startWait)
			}
			sleepFor(ctx, pollEvery)
		}
	}
	return nil
}

// got is what a caller saw.
type got struct {
	status int
	body   string
	id     string
}

// ask sends one request; a status of 0 means that no answer came.
func (s *soak) ask(ctx context.Context, h *http.Client, to netip.AddrPort, path, id, body string) got {
	ctx, cancel := context.WithTimeout(ctx, soakPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, strings.NewReader(body))
	if err != nil {
		return got{}
	}
	names := platform.Headers()
	req.Host = "h.example"
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.TimeLeft, fmt.Sprint(soakPatience.Milliseconds()))
	resp, err := h.Do(req)
	if err != nil {
		return got{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return got{}
	}
	return got{status: resp.StatusCode, body: string(b), id: resp.Header.Get(names.RequestID)}
}

// caller sends requests to one instance, on open connections until its
// process is gone.
func (s *soak) caller(ctx context.Context, n *soakNode, name string) error {
	h := &http.Client{Transport: &http.Transport{}}
	for i := 0; sleepFor(ctx, soakPause); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		path := "/view/x"
		if i%3 == 0 {
			path = "/pay/x"
		}
		s.take(id, s.ask(ctx, h, n.out, path, id, "body of "+id))
	}
	return nil
}

// take judges what a caller saw.
func (s *soak) take(id string, a got) {
	whole := answerTo(id, []byte("body of "+id))
	switch {
	case a.status == http.StatusOK && (a.body != whole || a.id != id):
		s.broke("whole", id, fmt.Sprintf("got %q as %s", a.body, a.id))
	case a.status == http.StatusNotFound, a.status == http.StatusBadRequest:
		s.broke("denied", id, fmt.Sprintf("got status %d", a.status))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if a.status == http.StatusOK {
		s.served++
	}
	if s.judging {
		s.judged[0]++
		if a.status == http.StatusOK {
			s.judged[1]++
		}
	}
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		s.refused[id] = fmt.Sprint(a.status)
	}
}

// watchRevision checks that the revision in force at a daemon never falls
// while its process lives.
func (s *soak) watchRevision(ctx context.Context, n *soakNode) error {
	op := sycapb.NewOperatorClient(&http.Client{Timeout: time.Second}, "http://"+n.operate.String())
	var last uint64
	var since time.Time
	for sleepFor(ctx, 300*time.Millisecond) {
		n.mu.Lock()
		now := n.since
		n.mu.Unlock()
		r, err := op.Policy(ctx, connect.NewRequest(&sycapb.PolicyRequest{}))
		n.mu.Lock()
		same := n.since.Equal(now)
		n.mu.Unlock()
		if err != nil || !same {
			continue
		}
		if since.Equal(now) && r.Msg.Revision < last {
			s.broke("revision", n.id, fmt.Sprintf("revision %d after %d", r.Msg.Revision, last))
		}
		last, since = r.Msg.Revision, now
	}
	return nil
}

// verdict judges the whole run.
func (s *soak) verdict() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	again, first := 0, 0
	for id, n := range s.runs {
		first++
		again += n - 1
		if s.pays[id] && n > 1 {
			s.faults = append(s.faults, fmt.Sprintf("promise=once request=%s ran %d times", id, n))
		}
		if why, ok := s.refused[id]; ok && s.pays[id] {
			s.faults = append(s.faults, fmt.Sprintf("promise=notrun request=%s was answered %s and ran", id, why))
		}
	}
	if s.judged[0] == 0 || float64(s.judged[1]) < soakServed*float64(s.judged[0]) {
		s.faults = append(s.faults, fmt.Sprintf("promise=recovery %d of %d requests served at the end", s.judged[1], s.judged[0]))
	}
	fmt.Printf("soak: asked=%d served=%d runs=%d again=%d last=%d/%d broken=%d\n", s.asked, s.served, first, again, s.judged[1], s.judged[0], len(s.faults))
	if len(s.faults) == 0 {
		return nil
	}
	for _, f := range s.faults[:min(len(s.faults), 20)] {
		fmt.Println(f)
	}
	return errors.Errorf("%d promises broken; logs in %s", len(s.faults), s.c.opt.dir)
}

// end stops what the soak started, by its process IDs.
func (s *soak) end() {
	s.stop()
	for _, n := range s.nodes {
		n.busy.Lock()
		s.kill(n.daemon)
		n.server.crash()
		n.busy.Unlock()
	}
	s.kill(s.c.store)
	_ = s.g.Wait()
}

func (s *soak) kill(p *process) {
	if p == nil {
		return
	}
	// A process that has ended already has no use for the signal.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}
