package route_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/admit"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
)

// The model plays a fleet of daemons in virtual time, without a network: what
// an entry does with Pick, an ingress with Deep and Gate, and callers that come
// back once when they are refused.

// method is a kind of request in the model.
type method struct {
	name, service string
	rank          uint32
	// work is the mean run time at a server of speed 1, without the calls.
	work                      time.Duration
	target, deadline, timeout time.Duration
	// calls are made one after the other.
	calls []string
	// perSecond is the rate at which callers send the kind.
	perSecond float64
}

// serverGroup describes the instances of one service.
type serverGroup struct {
	service string
	n       int
	slots   int
	speeds  []float64
}

// scenario is a deployment with its load.
type scenario struct {
	zones    int
	servers  []serverGroup
	methods  []method
	surge    func(t time.Duration) float64
	duration time.Duration
	hopDelay time.Duration
}

// node is one daemon with its backend server.
type node struct {
	id      string
	service string
	slots   int
	speed   float64
	gate    *admit.Gate
	table   *route.Table
	deep    *route.Dependencies
}

// outcomes tells how the requests of one kind ended, by the second of arrival.
type outcomes struct {
	sent, inTime, late, shed, failed int
}

type simulation struct {
	scenario
	nodes  map[string]*node
	list   []*node
	byName map[string]*method

	mu       sync.Mutex
	rng      *rand.Rand
	outcomes map[string][]outcomes
	// utilization sums the shares of the slots in use at a service, by second, one for each tick of an instance.
	utilization map[string][]float64
}

func newSimulation(s scenario) *simulation {
	m := &simulation{scenario: s, nodes: map[string]*node{}, byName: map[string]*method{}, outcomes: map[string][]outcomes{}, rng: rand.New(rand.NewPCG(1, 2)), utilization: map[string][]float64{}}
	for i := range s.methods {
		m.byName[s.methods[i].name] = &s.methods[i]
		m.outcomes[s.methods[i].name] = make([]outcomes, int(s.duration/time.Second)+10)
	}
	var targets []route.Target
	for _, f := range s.servers {
		for i := range f.n {
			zone := string(rune('a' + i%s.zones))
			id := fmt.Sprintf("%s-%02d", f.service, i)
			n := &node{
				id: id, service: f.service, slots: f.slots, speed: f.speeds[i%len(f.speeds)],
				gate:  admit.New(admit.Config{Slots: f.slots, Mode: admit.Full, Now: time.Now}),
				table: route.New(id, zone, time.Now),
				deep:  route.NewDependencies(),
			}
			m.nodes[id] = n
			m.list = append(m.list, n)
			targets = append(targets, route.Target{
				ID: id, Service: f.service, Zone: zone, Slots: f.slots,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(targets)+1)),
			})
		}
	}
	for _, n := range m.list {
		n.table.Update(targets)
	}
	return m
}

// run is one request on its way.
type run struct {
	k        *method
	key      action.Key
	own      bool
	deadline time.Time
}

var (
	errShed   = errors.New("refused")
	errFailed = errors.New("failed")
)

func (m *simulation) randomDuration(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(mean) * (0.6 + 0.8*m.rng.Float64()))
}

func (m *simulation) key(rank uint32) action.Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	var id action.ID
	for i := range id {
		id[i] = byte(m.rng.Uint32())
	}
	return action.KeyOf(rank, id)
}

// forward is what an entry does with a request: one send, and another instance
// when the first sheds it.
func (m *simulation) forward(n *node, r run) error {
	var avoid []string
	for range 3 {
		try, err := n.table.Pick(route.Request{Service: r.k.service, Method: r.k.name, Key: r.key, Exclude: avoid, Nested: r.own})
		if err != nil {
			return errShed
		}
		time.Sleep(m.hopDelay)
		report, err := m.handle(m.nodes[try.Target.ID], r)
		time.Sleep(m.hopDelay)
		try.Done(report)
		if !errors.Is(err, errShed) {
			return err
		}
		avoid = append(avoid, try.Target.ID)
		if time.Until(r.deadline) < 30*time.Millisecond {
			return errShed
		}
	}
	return errShed
}

func (m *simulation) handle(n *node, r run) (route.Report, error) {
	took, err := m.admitAndRun(n, r)
	s := n.gate.Stats()
	return route.Report{
		Load:    &sycapb.Load{Inflight: uint32(s.Inflight), Queued: uint32(s.Queued), Limit: uint32(s.Limit)},
		Levels:  n.deep.Levels(n.gate.Level(), n.table, time.Now()),
		Latency: took,
		Failed:  errors.Is(err, errFailed),
	}, err
}

func (m *simulation) admitAndRun(n *node, r run) (time.Duration, error) {
	now := time.Now()
	n.deep.RecordRun(r.k.name, now)
	if !r.own && !min(n.gate.Level(), n.deep.Level(r.k.name, n.table, now)).Admits(r.key) {
		return 0, errShed
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	pass, err := n.gate.Acquire(ctx, admit.Call{Key: r.key, Nested: r.own, Method: r.k.name, Deadline: r.deadline, QueueTimeout: m.maxQueueTime(r)})
	if err != nil {
		return 0, errShed
	}
	began := time.Now()
	defer func() { pass.Release(admit.Completed) }()
	work := time.Duration(float64(m.randomDuration(r.k.work)) / n.speed)
	part := work / time.Duration(len(r.k.calls)+1)
	for _, c := range r.k.calls {
		time.Sleep(part)
		k := m.byName[c]
		deadline := began.Add(k.deadline)
		if r.deadline.Before(deadline) {
			deadline = r.deadline
		}
		n.deep.RecordCall(r.k.name, route.Call{Service: k.service, Method: k.name}, time.Now())
		if m.forward(n, run{k: k, key: r.key, own: true, deadline: deadline}) != nil || !time.Now().Before(r.deadline) {
			return time.Since(began), errFailed
		}
	}
	time.Sleep(part)
	if !time.Now().Before(r.deadline) {
		return time.Since(began), errFailed
	}
	return time.Since(began), nil
}

// maxQueueTime is how long a request of a caller may wait in a queue.
func (m *simulation) maxQueueTime(r run) time.Duration {
	if r.own {
		return 0
	}
	return max(100*time.Millisecond, r.k.target/8)
}

// sendWithRetry plays one caller: a refused or failed request is sent once more.
func (m *simulation) sendWithRetry(n *node, k *method, second int) {
	arrived := time.Now()
	again := false
	for {
		err := m.forward(n, run{k: k, key: m.key(k.rank), deadline: time.Now().Add(min(k.timeout, k.deadline-time.Since(arrived)))})
		took := time.Since(arrived)
		m.mu.Lock()
		c := &m.outcomes[k.name][second]
		switch {
		case err == nil && took <= k.target:
			c.inTime++
		case err == nil:
			c.late++
		case again && errors.Is(err, errShed):
			c.shed++
		case again:
			c.failed++
		}
		m.mu.Unlock()
		if err == nil || again {
			return
		}
		again = true
		if errors.Is(err, errShed) {
			time.Sleep(min((k.deadline-took)/3, time.Duration((0.6+0.25*rand.Float64())*float64(k.target))))
		}
	}
}

// run runs the load and returns when all requests have ended.
func (m *simulation) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var ticks, asks errgroup.Group
	start := time.Now()
	for _, f := range m.servers {
		m.utilization[f.service] = make([]float64, int(m.duration/time.Second)+10)
	}
	for _, n := range m.list {
		ticks.Go(func() error {
			for ctx.Err() == nil {
				time.Sleep(admit.TickInterval)
				n.gate.Tick()
				m.mu.Lock()
				m.utilization[n.service][int(time.Since(start)/time.Second)] += float64(n.gate.Stats().Inflight) / float64(n.slots)
				m.mu.Unlock()
			}
			return nil
		})
	}
	for i := range m.scenario.methods {
		k := &m.scenario.methods[i]
		if k.perSecond == 0 {
			continue
		}
		asks.Go(func() error {
			for t := time.Duration(0); t < m.duration; t = time.Since(start) {
				m.mu.Lock()
				gap := time.Duration(m.rng.ExpFloat64() / (k.perSecond * m.surge(t)) * float64(time.Second))
				n := m.list[m.rng.IntN(len(m.list))]
				m.mu.Unlock()
				time.Sleep(gap)
				second := int(time.Since(start) / time.Second)
				m.mu.Lock()
				m.outcomes[k.name][second].sent++
				m.mu.Unlock()
				asks.Go(func() error {
					m.sendWithRetry(n, k, second)
					return nil
				})
			}
			return nil
		})
	}
	_ = asks.Wait()
	cancel()
	_ = ticks.Wait()
}

// sum sums the counts of a kind over the seconds from first until before last.
func (m *simulation) sum(name string, first, last int) outcomes {
	var sum outcomes
	for _, c := range m.outcomes[name][first:last] {
		sum.sent += c.sent
		sum.inTime += c.inTime
		sum.late += c.late
		sum.shed += c.shed
		sum.failed += c.failed
	}
	return sum
}

// inTimeRatio returns the share of a kind that was answered inside its target.
func (c outcomes) inTimeRatio() float64 {
	return float64(c.inTime) / float64(max(1, c.sent))
}

// chainScenario is a deployment whose calls end at one deep service: a view makes
// four calls there, a payment eight, a lookup is one. At a surge of 1.75 the
// payments and lookups take 0.8 of it and the views would take as much again.
func chainScenario() scenario {
	ms := time.Millisecond
	return scenario{
		zones: 3,
		servers: []serverGroup{
			{service: "views", n: 25, slots: 67, speeds: []float64{0.5, 1, 1, 1.5}},
			{service: "dues", n: 19, slots: 88, speeds: []float64{0.6, 1, 1.4}},
			{service: "plots", n: 23, slots: 73, speeds: []float64{0.5, 1, 1, 1.5}},
			{service: "lists", n: 4, slots: 91, speeds: []float64{0.5, 1, 1, 1.5}},
		},
		methods: []method{
			{name: "view", service: "views", rank: 2, work: 160 * ms, target: 1500 * ms, deadline: 5000 * ms, timeout: 1000 * ms, calls: []string{"check"}, perSecond: 998},
			{name: "pay", service: "dues", rank: 0, work: 210 * ms, target: 1500 * ms, deadline: 5000 * ms, timeout: 1200 * ms, calls: []string{"register", "register"}, perSecond: 457},
			{name: "history", service: "plots", rank: 2, work: 400 * ms, target: 1200 * ms, deadline: 5000 * ms, timeout: 2500 * ms, perSecond: 374},
			{name: "lookup", service: "lists", rank: 1, work: 64 * ms, target: 250 * ms, deadline: 1000 * ms, timeout: 1000 * ms, perSecond: 250},
			{name: "check", service: "dues", rank: 2, work: 15 * ms, target: 1000 * ms, deadline: 2500 * ms, calls: []string{"register"}},
			{name: "register", service: "plots", rank: 2, work: 15 * ms, target: 800 * ms, deadline: 2000 * ms, calls: []string{"roster", "roster", "roster", "roster"}},
			{name: "roster", service: "lists", rank: 2, work: 40 * ms, target: 300 * ms, deadline: 700 * ms},
		},
		surge: func(t time.Duration) float64 {
			if t > 2*time.Second && t < 14*time.Second {
				return 1.75
			}
			return 1
		},
		duration: 16 * time.Second,
		hopDelay: ms,
	}
}

// A surge that the deep service cannot carry lasts for twelve seconds. What is
// important is served inside its target throughout, lookups included, which
// cost little; the views share what is left, at the same rate from second to
// second.
func TestSurgeOverALongChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSimulation(chainScenario())
		m.run()
		for s := range 16 {
			line := fmt.Sprintf("second %2d", s)
			for _, k := range []string{"pay", "lookup", "view", "history"} {
				c := m.sum(k, s, s+1)
				line += fmt.Sprintf("  %s %4d in %.2f late %3d refused %4d failed %3d", k, c.sent, c.inTimeRatio(), c.late, c.shed, c.failed)
			}
			t.Logf("%s  lists used %.2f", line, m.utilization["lists"][s]/4/20)
		}
		if in := m.sum("pay", 2, 14).inTimeRatio(); in < 0.97 {
			t.Errorf("%.3f of the payments were answered in time", in)
		}
		if in := m.sum("lookup", 2, 14).inTimeRatio(); in < 0.95 {
			t.Errorf("%.3f of the lookups were answered in time", in)
		}
		if c := m.sum("view", 2, 14); float64(c.failed) > 0.05*float64(c.sent) {
			t.Errorf("%d of %d views failed after they were let in", c.failed, c.sent)
		}
	})
}
