package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sycamorespread.dev/sycapb"
)

const (
	// peerPort and httpPort are the ports of an instance's daemon, serverPort that of its backend server.
	peerPort   = 17100
	httpPort   = 17101
	serverPort = 17102
	// relayPeerPort is the port at an instance's address where the relay listens in front of peerPort.
	relayPeerPort = 17103
	// storePort and relayPort are the ports of the store stand-in and of the relay's control.
	storePort = 17000
	relayPort = 17001

	// coldTime is how long a backend server stand-in is cold after its start.
	coldTime = 500 * time.Millisecond

	startTimeout = 15 * time.Second
	stopTimeout  = 40 * time.Second
	pollInterval = 50 * time.Millisecond
)

// runOctet is the second octet of all addresses of this run. It varies by run, as the daemons of an
// earlier run may still be leaving and hold their addresses.
var runOctet = byte(10 + os.Getpid()%200)

// instance is one backend server with its daemon.
type instance struct {
	id, service, zone string
	ip                netip.Addr
	slots, conns      int
	daemon, server    *process

	// faultMu is held while a fault concerns the daemon.
	faultMu sync.Mutex
	// serverMu guards server and exitedAt, which prover.superviseLoop changes.
	serverMu sync.Mutex
	exitedAt time.Time
}

// withServer calls f with the current server process.
func (i *instance) withServer(f func(*process)) {
	i.serverMu.Lock()
	defer i.serverMu.Unlock()
	f(i.server)
}

func (i *instance) http() netip.AddrPort       { return netip.AddrPortFrom(i.ip, httpPort) }
func (i *instance) serverAddr() netip.AddrPort { return netip.AddrPortFrom(i.ip, serverPort) }

// process is one child process of the harness.
type process struct {
	cmd     *exec.Cmd
	done    chan struct{}
	logPath string
}

// options holds the settings of a cluster.
type options struct {
	bin, dir  string
	mode      string
	relay     bool
	leaveWait time.Duration
	level     string
	// runFile is the file to which the run is logged, if it is not empty.
	runFile string
}

// cluster is one deployment, run as separate processes on loopback.
type cluster struct {
	opt       options
	top       topology
	instances []*instance
	store     *process
	relay     *process
}

func newCluster(top topology, opt options) (*cluster, error) {
	c := &cluster{opt: opt, top: top}
	if err := os.MkdirAll(opt.dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create cluster folder")
	}
	n := 0
	for _, s := range top.services {
		for i := range s.servers {
			zone := n % top.zones
			n++
			c.instances = append(c.instances, &instance{
				id:      fmt.Sprintf("%s-%d", s.name, i),
				service: s.name,
				zone:    top.zone(zone),
				ip:      netip.AddrFrom4([4]byte{127, runOctet, byte(zone + 1), byte(n)}),
				slots:   s.slots,
				conns:   s.conns,
			})
		}
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	var err error
	c.store, err = c.spawn("store", "stand", "store", "--addr", storeAddr().String())
	if err != nil {
		return err
	}
	if c.opt.relay {
		if err := c.startRelay(); err != nil {
			return err
		}
	}
	for _, i := range c.instances {
		if err := c.startServer(i); err != nil {
			return err
		}
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	return c.awaitMembers(ctx, len(c.instances))
}

func storeAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, runOctet, 0, 1}), storePort)
}

func relayAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, runOctet, 0, 1}), relayPort)
}

func (c *cluster) spawn(name, prog string, args ...string) (*process, error) {
	path := filepath.Join(c.opt.dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open process log")
	}
	cmd := exec.Command(filepath.Join(c.opt.bin, prog), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{cmd: cmd, done: make(chan struct{}), logPath: path}
	children.Go(func() error {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
		return nil
	})
	return p, nil
}

// serverAddr returns the address of the backend server that the daemon of i serves.
func (c *cluster) serverAddr(i *instance) netip.AddrPort {
	if c.top.shared {
		return c.instances[0].serverAddr()
	}
	return i.serverAddr()
}

// ledger returns the file to which the backend server stand-in of i writes its runs.
func (c *cluster) ledger(i *instance) string {
	return filepath.Join(c.opt.dir, i.id+"-ledger.txt")
}

func (c *cluster) startServer(i *instance) error {
	if c.top.shared && i != c.instances[0] {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[server]\nservice = %s\naddr = %s\ndaemon = %s\nslots = %d\ncold = %s\nledger = %s\n[methods]\n",
		i.service, i.serverAddr(), i.http(), i.slots, coldTime, c.ledger(i))
	for _, s := range c.top.services {
		if s.name == i.service {
			for _, m := range s.methods {
				fmt.Fprintf(&b, "%s\n", m)
			}
		}
	}
	file := filepath.Join(c.opt.dir, i.id+"-server.ini")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write server settings")
	}
	var err error
	i.server, err = c.spawn(i.id+"-server", "stand", "server", file)
	return err
}

func (c *cluster) startDaemon(i *instance) error {
	file := filepath.Join(c.opt.dir, i.id+".ini")
	if err := os.WriteFile(file, []byte(c.settings(i)), 0o644); err != nil {
		return errors.Wrap(err, "write daemon settings")
	}
	var err error
	i.daemon, err = c.spawn(i.id, "sycd", "run", file)
	return err
}

func (c *cluster) settings(i *instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[daemon]\nid = %s\nregion = %s\nzone = %s\naddr = %s\nhttp = %s\nlog_level = %s\nleave_wait = %s\n",
		i.id, c.top.region, i.zone, netip.AddrPortFrom(i.ip, peerPort), i.http(), c.opt.level, c.opt.leaveWait)
	if c.opt.relay {
		fmt.Fprintf(&b, "advertise = %s\n", netip.AddrPortFrom(i.ip, relayPeerPort))
	}
	fmt.Fprintf(&b, "[platform]\naddr = %s\n", storeAddr())
	fmt.Fprintf(&b, "[server]\nservice = %s\naddr = %s\nslots = %d\nconnections = %d\n", i.service, c.serverAddr(i), i.slots, i.conns)
	fmt.Fprintf(&b, "warm_up = %s\n[control]\nmode = %s\n", coldTime, c.opt.mode)
	return b.String()
}

func (c *cluster) startRelay() error {
	var b strings.Builder
	fmt.Fprintf(&b, "[relay]\ncontrol = %s\n[doors]\n", relayAddr())
	for _, i := range c.instances {
		fmt.Fprintf(&b, "%s = %s %s\n", netip.AddrPortFrom(i.ip, relayPeerPort), netip.AddrPortFrom(i.ip, peerPort), i.zone)
	}
	file := filepath.Join(c.opt.dir, "relay.ini")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write relay settings")
	}
	var err error
	c.relay, err = c.spawn("relay", "stand", "relay", file)
	return err
}

// awaitMembers waits until every daemon lists n live members.
func (c *cluster) awaitMembers(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range c.instances {
		for c.liveMembers(ctx, i) < n {
			if exited := c.firstExited(); exited != nil {
				return errors.Errorf("daemon %s exited during startup; see its log %s", exited.id, exited.daemon.logPath)
			}
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s does not list %d live members after %s", i.id, n, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// firstExited returns the first instance whose daemon has exited, or nil if all daemons run.
func (c *cluster) firstExited() *instance {
	for _, i := range c.instances {
		select {
		case <-i.daemon.done:
			return i
		default:
		}
	}
	return nil
}

func (c *cluster) operator(i *instance) sycapb.OperatorClient {
	return sycapb.NewOperatorClient(http.DefaultClient, "http://"+i.http().String())
}

// liveMembers returns the number of members that a daemon lists as alive and in service, or 0 if it
// doesn't respond.
func (c *cluster) liveMembers(ctx context.Context, i *instance) int {
	r, err := c.operator(i).Members(ctx, connect.NewRequest(&sycapb.MembersRequest{}))
	if err != nil {
		return 0
	}
	n := 0
	for _, m := range r.Msg.Members {
		e := m.Entry
		if e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !e.Down && !e.Leaving {
			n++
		}
	}
	return n
}

func (c *cluster) entries() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range c.instances {
		list = append(list, i.http())
	}
	return list
}

// installPolicy proposes, reviews and accepts a policy, and returns how long it took until the policy
// was in force at every daemon.
func (c *cluster) installPolicy(ctx context.Context, text string) (time.Duration, error) {
	op := c.operator(c.instances[0])
	p, err := op.Propose(ctx, connect.NewRequest(&sycapb.ProposeRequest{Author: "anna", Summary: "bench", Text: text}))
	if err != nil {
		return 0, errors.Wrap(err, "propose")
	}
	id := p.Msg.Change.Id
	review := &sycapb.Review{Author: "bent", Text: "reviewed", Approve: true}
	if _, err := op.Review(ctx, connect.NewRequest(&sycapb.ReviewRequest{ChangeId: id, Review: review})); err != nil {
		return 0, errors.Wrap(err, "review")
	}
	a, err := op.Accept(ctx, connect.NewRequest(&sycapb.AcceptRequest{ChangeId: id, Author: "anna", WaitMs: 5000}))
	if err != nil {
		return 0, errors.Wrap(err, "accept")
	}
	if a.Msg.Result != sycapb.AcceptResult_ACCEPT_RESULT_ACCEPTED {
		return 0, errors.Errorf("accept policy: result %s: %s", a.Msg.Result, a.Msg.Detail)
	}
	for _, z := range a.Msg.Zones {
		if z.InForce < z.Members {
			return 0, errors.Errorf("zone %s: revision %d is in force at %d of %d members", z.Zone, a.Msg.Revision, z.InForce, z.Members)
		}
	}
	return time.Duration(a.Msg.ForceMs) * time.Millisecond, nil
}

// brokenInvariants returns the number of broken invariants that the daemons counted.
func (c *cluster) brokenInvariants(ctx context.Context) (float64, error) {
	sum := 0.0
	for _, i := range c.instances {
		v, err := c.metric(ctx, i, "invariants.broken")
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}

func (c *cluster) metric(ctx context.Context, i *instance, name string) (float64, error) {
	r, err := c.operator(i).Metrics(ctx, connect.NewRequest(&sycapb.MetricsRequest{}))
	if err != nil {
		return 0, errors.Wrapf(err, "read metrics of %s", i.id)
	}
	for _, m := range r.Msg.Metrics {
		if m.Name == name {
			return m.Value, nil
		}
	}
	return 0, nil
}

// slowService multiplies the run times of a service's backend servers by factor.
func (c *cluster) slowService(ctx context.Context, service string, factor float64) error {
	for _, i := range c.instances {
		if i.service != service {
			continue
		}
		rpc := sycapb.NewServerControlClient(http.DefaultClient, "http://"+i.serverAddr().String())
		if _, err := rpc.SetFaults(ctx, connect.NewRequest(&sycapb.ServerFaults{Slow: factor})); err != nil {
			return errors.Wrapf(err, "set slowdown of %s", i.id)
		}
	}
	return nil
}

func (c *cluster) setStoreFaults(ctx context.Context, f *sycapb.StoreFaults) (*sycapb.StoreCounts, error) {
	rpc := sycapb.NewStoreControlClient(http.DefaultClient, "http://"+storeAddr().String())
	r, err := rpc.SetFaults(ctx, connect.NewRequest(f))
	if err != nil {
		return nil, errors.Wrap(err, "set store faults")
	}
	return r.Msg.Counts, nil
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// stop terminates a process. It returns an error if the process has to be killed after stopTimeout or
// exits with a code other than 0.
func (p *process) stop(name string) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
		return errors.Errorf("%s did not stop within %s", name, stopTimeout)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s exited with code %d", name, code)
	}
	return nil
}

// stop stops the daemons gracefully and then kills the stand-ins.
func (c *cluster) stop() error {
	var first error
	for _, i := range c.instances {
		if i.daemon != nil {
			i.daemon.signal(syscall.SIGCONT)
			i.daemon.signal(syscall.SIGTERM)
		}
	}
	for _, i := range c.instances {
		if i.daemon == nil {
			continue
		}
		if err := i.daemon.stop(i.id); err != nil && first == nil {
			first = err
		}
	}
	for _, i := range c.instances {
		if i.server != nil {
			i.server.signal(syscall.SIGKILL)
			<-i.server.done
		}
	}
	for _, p := range []*process{c.store, c.relay} {
		if p != nil {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	return first
}

// checkPorts returns an error if the store's address is in use.
func checkPorts() error {
	l, err := net.Listen("tcp", storeAddr().String())
	if err != nil {
		return errors.Wrap(err, "another run of the harness may be active")
	}
	return l.Close()
}
