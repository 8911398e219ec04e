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

// method is a method of a simulated service.
type method struct {
	name, service string
	rank          uint32
	// work is the mean run time at a server of speed 1, without the downstream calls.
	work                      time.Duration
	target, deadline, timeout time.Duration
	// calls lists the methods that are called downstream, one after the other.
	calls []string
	// perSecond is the rate of requests from callers.
	perSecond float64
}

// serverGroup describes the instances of one service.
type serverGroup struct {
	service string
	n       int
	slots   int
	speeds  []float64
}

// scenario describes a deployment and its load.
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
	id           string
	service      string
	slots        int
	speed        float64
	gate         *admit.Gate
	table        *route.Table
	dependencies *route.Dependencies
}

// outcomes counts the requests of one method by how they ended.
type outcomes struct {
	sent, inTime, late, shed, failed int
}

// simulation simulates a fleet of daemons in virtual time, without a network:
// the entry with Pick, the ingress with Dependencies and Gate, and callers that
// retry once after a failure.
type simulation struct {
	scenario
	nodeByID     map[string]*node
	nodes        []*node
	methodByName map[string]*method

	mu  sync.Mutex
	rng *rand.Rand
	// outcomes holds the outcomes by method and second of arrival.
	outcomes map[string][]outcomes
	// utilization sums the share of slots in use over all instances and ticks, by service and second.
	utilization map[string][]float64
}

func newSimulation(s scenario) *simulation {
	m := &simulation{scenario: s, nodeByID: map[string]*node{}, methodByName: map[string]*method{}, outcomes: map[string][]outcomes{}, rng: rand.New(rand.NewPCG(1, 2)), utilization: map[string][]float64{}}
	for i := range s.methods {
		m.methodByName[s.methods[i].name] = &s.methods[i]
		m.outcomes[s.methods[i].name] = make([]outcomes, int(s.duration/time.Second)+10)
	}
	var targets []route.Target
	for _, group := range s.servers {
		for i := range group.n {
			zone := string(rune('a' + i%s.zones))
			id := fmt.Sprintf("%s-%02d", group.service, i)
			n := &node{
				id: id, service: group.service, slots: group.slots, speed: group.speeds[i%len(group.speeds)],
				gate:         admit.New(admit.Config{Slots: group.slots, Mode: admit.Full, Now: time.Now}),
				table:        route.New(id, zone, time.Now),
				dependencies: route.NewDependencies(),
			}
			m.nodeByID[id] = n
			m.nodes = append(m.nodes, n)
			targets = append(targets, route.Target{
				ID: id, Service: group.service, Zone: zone, Slots: group.slots,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(targets)+1)),
			})
		}
	}
	for _, n := range m.nodes {
		n.table.Update(targets)
	}
	return m
}

// call is one request in flight.
type call struct {
	method   *method
	key      action.Key
	nested   bool
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

// forward sends a call as an entry does. It retries at another instance if the
// first one sheds the call.
func (m *simulation) forward(n *node, c call) error {
	var tried []string
	for range 3 {
		attempt, err := n.table.Pick(route.Request{Service: c.method.service, Method: c.method.name, Key: c.key, Exclude: tried, Nested: c.nested})
		if err != nil {
			return errShed
		}
		time.Sleep(m.hopDelay)
		report, err := m.handle(m.nodeByID[attempt.Target.ID], c)
		time.Sleep(m.hopDelay)
		attempt.Done(report)
		if !errors.Is(err, errShed) {
			return err
		}
		tried = append(tried, attempt.Target.ID)
		if time.Until(c.deadline) < 30*time.Millisecond {
			return errShed
		}
	}
	return errShed
}

func (m *simulation) handle(n *node, c call) (route.Report, error) {
	latency, err := m.admitAndRun(n, c)
	s := n.gate.Stats()
	return route.Report{
		Load:    &sycapb.Load{Inflight: uint32(s.Inflight), Queued: uint32(s.Queued), Limit: uint32(s.Limit)},
		Levels:  n.dependencies.Levels(n.gate.Level(), n.table, time.Now()),
		Latency: latency,
		Failed:  errors.Is(err, errFailed),
	}, err
}

func (m *simulation) admitAndRun(n *node, rc call) (time.Duration, error) {
	now := time.Now()
	n.dependencies.RecordRun(rc.method.name, now)
	if !rc.nested && !min(n.gate.Level(), n.dependencies.Level(rc.method.name, n.table, now)).Admits(rc.key) {
		return 0, errShed
	}
	ctx, cancel := context.WithDeadline(context.Background(), rc.deadline)
	defer cancel()
	permit, err := n.gate.Acquire(ctx, admit.Call{Key: rc.key, Nested: rc.nested, Method: rc.method.name, Deadline: rc.deadline, QueueTimeout: m.maxQueueTime(rc)})
	if err != nil {
		return 0, errShed
	}
	began := time.Now()
	defer func() { permit.Release(admit.Completed) }()
	work := time.Duration(float64(m.randomDuration(rc.method.work)) / n.speed)
	step := work / time.Duration(len(rc.method.calls)+1)
	for _, c := range rc.method.calls {
		time.Sleep(step)
		k := m.methodByName[c]
		deadline := began.Add(k.deadline)
		if rc.deadline.Before(deadline) {
			deadline = rc.deadline
		}
		n.dependencies.RecordCall(rc.method.name, route.Call{Service: k.service, Method: k.name}, time.Now())
		if m.forward(n, call{method: k, key: rc.key, nested: true, deadline: deadline}) != nil || !time.Now().Before(rc.deadline) {
			return time.Since(began), errFailed
		}
	}
	time.Sleep(step)
	if !time.Now().Before(rc.deadline) {
		return time.Since(began), errFailed
	}
	return time.Since(began), nil
}

// maxQueueTime returns how long a request of a caller may wait in a queue.
func (m *simulation) maxQueueTime(c call) time.Duration {
	if c.nested {
		return 0
	}
	return max(100*time.Millisecond, c.method.target/8)
}

// sendWithRetry simulates one caller, who retries a shed or failed request once.
func (m *simulation) sendWithRetry(n *node, method *method, second int) {
	arrived := time.Now()
	retried := false
	for {
		err := m.forward(n, call{method: method, key: m.key(method.rank), deadline: time.Now().Add(min(method.timeout, method.deadline-time.Since(arrived)))})
		elapsed := time.Since(arrived)
		m.mu.Lock()
		c := &m.outcomes[method.name][second]
		switch {
		case err == nil && elapsed <= method.target:
			c.inTime++
		case err == nil:
			c.late++
		case retried && errors.Is(err, errShed):
			c.shed++
		case retried:
			c.failed++
		}
		m.mu.Unlock()
		if err == nil || retried {
			return
		}
		retried = true
		if errors.Is(err, errShed) {
			time.Sleep(min((method.deadline-elapsed)/3, time.Duration((0.6+0.25*rand.Float64())*float64(method.target))))
		}
	}
}

// run generates the load and returns when all requests have ended.
func (m *simulation) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var ticks, senders errgroup.Group
	start := time.Now()
	for _, group := range m.servers {
		m.utilization[group.service] = make([]float64, int(m.duration/time.Second)+10)
	}
	for _, n := range m.nodes {
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
		method := &m.scenario.methods[i]
		if method.perSecond == 0 {
			continue
		}
		senders.Go(func() error {
			for t := time.Duration(0); t < m.duration; t = time.Since(start) {
				m.mu.Lock()
				interval := time.Duration(m.rng.ExpFloat64() / (method.perSecond * m.surge(t)) * float64(time.Second))
				n := m.nodes[m.rng.IntN(len(m.nodes))]
				m.mu.Unlock()
				time.Sleep(interval)
				second := int(time.Since(start) / time.Second)
				m.mu.Lock()
				m.outcomes[method.name][second].sent++
				m.mu.Unlock()
				senders.Go(func() error {
					m.sendWithRetry(n, method, second)
					return nil
				})
			}
			return nil
		})
	}
	_ = senders.Wait()
	cancel()
	_ = ticks.Wait()
}

// sum returns the total outcomes of a method over the seconds [first, last).
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

// inTimeRatio returns the share of requests that got a response within the target.
func (c outcomes) inTimeRatio() float64 {
	return float64(c.inTime) / float64(max(1, c.sent))
}

// chainScenario returns a deployment whose call chains end at one service,
// lists. A view makes four calls to it, a payment eight, and a lookup is one
// call. At 1.75 times the load, payments and lookups use 0.8 of its capacity and
// the views would use as much again.
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

// For twelve seconds the load exceeds the capacity of the service at the end of
// the call chains. Payments and lookups, which cost little, must be served
// within their targets throughout. The views get the remaining capacity, at a
// steady rate from second to second.
func TestSurgeAtDeepCallChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSimulation(chainScenario())
		m.run()
		for s := range 16 {
			line := fmt.Sprintf("second %2d", s)
			for _, k := range []string{"pay", "lookup", "view", "history"} {
				c := m.sum(k, s, s+1)
				line += fmt.Sprintf("  %s %4d in time %.2f late %3d shed %4d failed %3d", k, c.sent, c.inTimeRatio(), c.late, c.shed, c.failed)
			}
			t.Logf("%s  lists utilization %.2f", line, m.utilization["lists"][s]/4/20)
		}
		if in := m.sum("pay", 2, 14).inTimeRatio(); in < 0.97 {
			t.Errorf("%.3f of the payments got a response in time", in)
		}
		if in := m.sum("lookup", 2, 14).inTimeRatio(); in < 0.95 {
			t.Errorf("%.3f of the lookups got a response in time", in)
		}
		if c := m.sum("view", 2, 14); float64(c.failed) > 0.05*float64(c.sent) {
			t.Errorf("%d of %d views failed after they were admitted", c.failed, c.sent)
		}
	})
}
