package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/config"
	"sycamorespread.dev/daemon"
	"sycamorespread.dev/fakekv"
	"sycamorespread.dev/platform"
	"sycamorespread.dev/sycapb"
)

const policyText = `[class dues]
rank = 0
[class lookups]
rank = 2
[method front.view]
class = lookups
allowance = 12
objective = 0.99
[method front.pay]
class = dues
repeatable = no
allowance = 8
objective = 0.999
[method back.get]
class = lookups
allowance = 8
objective = 0.99
body_max = 1000
`

// fakeServer is a fake backend server that runs a function.
type fakeServer struct {
	run    func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error)
	runs   atomic.Int64
	server *http.Server
	mu     sync.Mutex
	listen string
}

// Run implements the schema's Backend service.
func (b *fakeServer) Run(ctx context.Context, req *connect.Request[sycapb.RunRequest]) (*connect.Response[sycapb.RunReply], error) {
	b.runs.Add(1)
	r, err := b.run(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	r.RunId = req.Msg.RunId
	r.Digest = action.Digest(r.Body)
	return connect.NewResponse(r), nil
}

// Health implements the schema's Backend service.
func (b *fakeServer) Health(context.Context, *connect.Request[sycapb.HealthRequest]) (*connect.Response[sycapb.HealthReply], error) {
	return connect.NewResponse(&sycapb.HealthReply{Ok: true}), nil
}

// Load implements the schema's Backend service.
func (b *fakeServer) Load(context.Context, *connect.Request[sycapb.LoadRequest]) (*connect.Response[sycapb.LoadReply], error) {
	return connect.NewResponse(&sycapb.LoadReply{}), nil
}

// Drain implements the schema's Backend service.
func (b *fakeServer) Drain(context.Context, *connect.Request[sycapb.DrainRequest]) (*connect.Response[sycapb.DrainReply], error) {
	return connect.NewResponse(&sycapb.DrainReply{}), nil
}

func (b *fakeServer) start(t *testing.T, g *errgroup.Group) {
	mux := http.NewServeMux()
	mux.Handle(sycapb.NewBackendHandler(b))
	b.mu.Lock()
	defer b.mu.Unlock()
	l, err := net.Listen("tcp", b.listen)
	if err != nil {
		t.Fatal(err)
	}
	b.listen = l.Addr().String()
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s := b.server
	g.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
}

// crash closes the listener and every connection.
func (b *fakeServer) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// node is a daemon with its fake backend server.
type node struct {
	*fakeServer
	cfg  *config.Config
	stop context.CancelFunc
	done chan error
}

// cluster is a set of daemons with fake backend servers in one process.
type cluster struct {
	t     *testing.T
	id    int32
	g     errgroup.Group
	nodes []*node
	// store is the platform's store, nil for none; storeAddr is its address.
	store     *fakekv.Store
	storeAddr netip.AddrPort
}

const (
	// peerPort and httpPort are below the range of ephemeral ports.
	peerPort = 17300
	httpPort = 17301
)

// clusters counts the clusters of this process.
var clusters atomic.Int32

// addStore starts the platform's store. It is called before the first add.
func (f *cluster) addStore() {
	f.store = fakekv.New(time.Now)
	srv := httptest.NewServer(platform.StoreHandler(f.store.Transport()))
	f.t.Cleanup(srv.Close)
	f.storeAddr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
}

// ip returns the loopback address of the next node. Each process, cluster and
// node has its own, so that no other socket can occupy the ports.
func (f *cluster) ip() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(f.id), byte(len(f.nodes) + 1)})
}

func newCluster(t *testing.T) *cluster {
	f := &cluster{t: t, id: clusters.Add(1)}
	t.Cleanup(f.close)
	return f
}

// add starts a daemon with a backend server that echoes the body.
func (f *cluster) add(service string, slots int) *node {
	f.t.Helper()
	text := fmt.Sprintf("[daemon]\nid = %s-%d\nregion = r\nzone = z\naddr = %s\nhttp = %s\nleave_wait = 300ms\nprobe = 200ms\n",
		service, len(f.nodes), netip.AddrPortFrom(f.ip(), peerPort), netip.AddrPortFrom(f.ip(), httpPort))
	if len(f.nodes) > 0 {
		text += fmt.Sprintf("peers = %s\n", f.nodes[0].cfg.Addr)
	}
	b := &fakeServer{listen: "127.0.0.1:0", run: echo}
	b.start(f.t, &f.g)
	text += fmt.Sprintf("[server]\nservice = %s\naddr = %s\nslots = %d\nconnections = 1000\n", service, b.listen, slots)
	text += fmt.Sprintf("[policy]\nfile = %s/policy.ini\n", f.t.TempDir())
	if f.store != nil {
		text += fmt.Sprintf("[platform]\naddr = %s\nreads = 1000\nwrites = 1000\n", f.storeAddr)
	}
	n := &node{fakeServer: b, cfg: f.parse(text)}
	f.run(n)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *cluster) parse(text string) *config.Config {
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	writeFile(f.t, cfg.PolicyFile, policyText)
	return cfg
}

// run starts the daemon of a node. It can be called again after a stop.
func (f *cluster) run(n *node) {
	f.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(n.cfg, logrus.NewEntry(log), daemon.Adapter{StoreTransport: platform.NewTransport})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.done = make(chan error, 1)
	done := n.done
	f.g.Go(func() error {
		done <- d.Run(ctx)
		return nil
	})
}

func (f *cluster) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		if err := <-n.done; err != nil {
			f.t.Errorf("%s: %v", n.cfg.ID, err)
		}
		n.crash()
	}
	_ = f.g.Wait()
}

func (n *node) operator() sycapb.OperatorClient {
	return sycapb.NewOperatorClient(http.DefaultClient, "http://"+n.cfg.HTTPAddr.String())
}

// readyTimeout bounds the time until all daemons know each other. It is long enough for a busy machine.
const readyTimeout = 15 * time.Second

// awaitReady waits until every daemon lists all members as alive and in service.
func (f *cluster) awaitReady() {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for n.liveMembers() != len(f.nodes) {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s knows %d members", n.cfg.ID, n.liveMembers())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	// The route table follows the member list within its minimum rebuild interval.
	time.Sleep(300 * time.Millisecond)
}

func (n *node) liveMembers() int {
	r, err := n.operator().Members(context.Background(), connect.NewRequest(&sycapb.MembersRequest{}))
	if err != nil {
		return 0
	}
	live := 0
	for _, m := range r.Msg.Members {
		if m.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !m.Entry.Down && !m.Entry.Leaving {
			live++
		}
	}
	return live
}

func (f *cluster) client(resends int, entries ...*node) *caller.Client {
	cfg := caller.Config{MaxResends: resends, ResendDelay: 20 * time.Millisecond, IgnoreRetryAfter: true, Allowance: 32}
	for _, n := range entries {
		cfg.Entries = append(cfg.Entries, n.cfg.HTTPAddr)
	}
	return caller.New(cfg)
}

func (n *node) entry() sycapb.EntryClient {
	return sycapb.NewEntryClient(http.DefaultClient, "http://"+n.cfg.HTTPAddr.String())
}

func echo(_ context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
	return &sycapb.RunReply{Body: bytes.Clone(m.Body)}, nil
}
