package daemon_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/config"
	"sycamorespread.dev/daemon"
	"sycamorespread.dev/fakekv"
	"sycamorespread.dev/life"
	"sycamorespread.dev/platform"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
)

// fakeStore is a simulated store that can be made unavailable.
type fakeStore struct {
	kv *fakekv.Store
	// rejected counts the calls that arrived while the store was unavailable.
	rejected atomic.Int64
	// deaf is true while watches omit changes.
	deaf atomic.Bool
}

func (s *fakeStore) setUnavailable(away bool) {
	s.kv.SetFaults(fakekv.Faults{Down: away})
}

// handler serves the store over HTTP.
func (s *fakeStore) handler() http.Handler {
	t := s.kv.Transport()
	watch := t.Watch
	t.Watch = func(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
		events, next, err := watch(ctx, prefix, after, wait)
		if s.deaf.Load() {
			events = nil
		}
		return events, next, err
	}
	h := platform.StoreHandler(t)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := httptest.NewRecorder()
		h.ServeHTTP(response, r)
		if response.Code == http.StatusServiceUnavailable {
			s.rejected.Add(1)
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	})
}

// httpCluster is a set of instances with the HTTP interface and a fake store, in
// one process.
type httpCluster struct {
	t     *testing.T
	store *fakeStore
	// stopDelay is the minimum time for which a stopping daemon accepts requests, stopTimeout the maximum duration
	// of a stop.
	stopDelay, stopTimeout time.Duration
	// zones is the number of availability zones, to which instances are added in turn.
	zones int
	g     errgroup.Group
	nodes []*httpNode
	base  netip.Addr
	// silence is raised to make the connections of all open calls to the store silent.
	silence atomic.Int64
}

// httpNode is one instance: a daemon and its backend server.
type httpNode struct {
	*httpCluster
	id, service, zone                    string
	host                                 netip.Addr
	serverAddr                           string
	runs                                 atomic.Int64
	ranIDs                               sync.Map
	delay                                atomic.Int64
	stop                                 context.CancelFunc
	done                                 chan error
	outboundAddr, readyAddr, controlAddr string
	// partitioned is true while the instance cannot reach the store. It can still reach everything else.
	partitioned atomic.Bool
	storeAddr   netip.AddrPort
	// limit is the limit that the server names in its responses, empty for none. leaving and
	// healthLeaving are set if it states in its responses, and in those to health checks, that it leaves.
	limit                  atomic.Pointer[string]
	leaving, healthLeaving atomic.Bool
	mu                     sync.Mutex
	ranAt                  []time.Time
	// fault, if set, handles the requests in place of the backend server.
	fault atomic.Pointer[http.HandlerFunc]
	// log holds the log entries of the latest process.
	log atomic.Pointer[logtest.Hook]
	// storeCalls counts the calls to the store but for stale reads, which only the scans for seeds make.
	storeCalls atomic.Int64
	// lastStoreCall is the path of the last one.
	lastStoreCall atomic.Pointer[string]
}

func newHTTPCluster(t *testing.T) *httpCluster {
	s := &httpCluster{t: t, zones: 1, stopDelay: 300 * time.Millisecond, stopTimeout: 3 * time.Second, store: &fakeStore{kv: fakekv.New(time.Now)}}
	s.base = netip.AddrFrom4([4]byte{127, byte(10 + clusters.Add(1)%200), byte(100 + os.Getpid()%150), 0})
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.stop()
		}
		for _, n := range s.nodes {
			if err := <-n.done; err != nil {
				t.Errorf("%s: %v", n.id, err)
			}
		}
	})
	return s
}

// newPair returns a cluster with one instance of each of two services, whose route leads to the
// second one.
func newPair(t *testing.T) (s *httpCluster, one, two *httpNode) {
	t.Helper()
	s = newHTTPCluster(t)
	s.configure(7, "two")
	one, two = s.add("one"), s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	return s, one, two
}

// setSlots reports the slots of the backend server of n.
func (n *httpNode) setSlots(slots int) {
	n.t.Helper()
	if got := n.heartbeat(1, slots, false); got != http.StatusOK {
		n.t.Fatalf("heartbeat: status %d", got)
	}
}

func (s *httpCluster) serve(at netip.AddrPort, h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.g.Go(func() error {
		_ = srv.Serve(l)
		return nil
	})
	s.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// configure writes a version of the operator's policy with one route, to the
// service.
func (s *httpCluster) configure(version uint64, service string) {
	r := policy.Route{
		Name: "r-" + service, Host: "h.example", Prefix: "/x/", Rank: 1, MaxAttempts: 2,
		Timeout: 1500 * time.Millisecond, TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: service, Weight: 1}},
	}
	services := []policy.Service{{Name: "one", HealthPath: "/health", MaxConnections: 50}, {Name: "two", HealthPath: "/health", MaxConnections: 50}}
	if service != "one" && service != "two" {
		services = append(services, policy.Service{Name: service, HealthPath: "/health", MaxConnections: 50})
	}
	s.configureRoutes(version, services, r)
}

// configureRoutes writes a version of the operator's policy.
func (s *httpCluster) configureRoutes(version uint64, services []policy.Service, routes ...policy.Route) {
	table, err := policy.NewTable(routes, services, policy.Limits{MaxBodyBytes: 100_000})
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := platform.EncodePolicy(version, table)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.kv.Put(platform.PolicyKey, []byte(text))
}

func (s *httpCluster) add(service string) *httpNode {
	s.t.Helper()
	n := &httpNode{httpCluster: s, service: service, id: fmt.Sprintf("%s-%d", service, len(s.nodes)), zone: fmt.Sprintf("z%d", len(s.nodes)%s.zones)}
	n.host = netip.AddrFrom4([4]byte{127, s.base.As4()[1], s.base.As4()[2], byte(10 + len(s.nodes))})
	n.serverAddr = s.serve(netip.AddrPortFrom(n.host, 0), http.HandlerFunc(n.handle)).String()
	n.outboundAddr, n.readyAddr, n.controlAddr = n.addr(17404), n.addr(17402), n.addr(17406)
	storeHandler := s.store.handler()
	n.storeAddr = s.serve(netip.AddrPortFrom(n.host, 0), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Query().Get("is_stale") != "1" {
			n.storeCalls.Add(1)
			n.lastStoreCall.Store(&r.URL.Path)
		}
		before := s.silence.Load()
		response := httptest.NewRecorder()
		storeHandler.ServeHTTP(response, r)
		if s.silence.Load() != before {
			<-r.Context().Done()
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}))
	s.nodes = append(s.nodes, n)
	n.run()
	return n
}

func (n *httpNode) addr(port uint16) string {
	return netip.AddrPortFrom(n.host, port).String()
}

// handle is the handler of the backend server.
func (n *httpNode) handle(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers()
	w.Header().Set(h.Instance, "i-"+n.id)
	if limit := n.limit.Load(); limit != nil && *limit != "" {
		w.Header().Set(h.Limit, *limit)
	}
	if r.URL.Path == "/health" && n.healthLeaving.Load() || r.URL.Path != "/health" && n.leaving.Load() {
		w.Header().Set(h.Leaving, "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set(h.Load, "0,0,4")
		return
	}
	if fault := n.fault.Load(); fault != nil {
		(*fault)(w, r)
		return
	}
	n.runs.Add(1)
	n.ranIDs.Store(r.Header.Get(h.RequestID), true)
	n.mu.Lock()
	n.ranAt = append(n.ranAt, time.Now())
	n.mu.Unlock()
	time.Sleep(time.Duration(n.delay.Load()))
	w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
	w.Header().Set(h.Signature, "sig")
	_, _ = io.WriteString(w, "from "+n.id)
}

func (n *httpNode) run() {
	n.t.Helper()
	text := fmt.Sprintf("[daemon]\nid = %s\nregion = r\nzone = %s\naddr = %s\nhttp = %s\nprobe = 200ms\n[front]\noutbound = %s\ninbound = %s\nready = %s\ncontrol = %s\n"+
		"stop_wait = %s\nstop_most = %s\n[platform]\naddr = %s\nreads = 1000\nwrites = 1000\n[server]\nservice = %s\naddr = %s\n",
		n.id, n.zone, n.addr(17400), n.addr(17401), n.outboundAddr, n.addr(17403), n.readyAddr, n.controlAddr, n.stopDelay, n.stopTimeout, n.storeAddr, n.service, n.serverAddr)
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		n.t.Fatal(err)
	}
	log, hook := logtest.NewNullLogger()
	n.log.Store(hook)
	d, err := daemon.New(cfg, logrus.NewEntry(log), daemon.Adapter{
		StoreTransport: platform.NewTransport, PolicyKey: platform.PolicyKey, DecodePolicy: platform.DecodePolicy, Headers: platform.Headers(),
		HeartbeatHandler: func(b daemon.HeartbeatSink) http.Handler { return platform.HeartbeatHandler(platform.HeartbeatSink(b)) },
	})
	if err != nil {
		n.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop, n.done = stop, make(chan error, 1)
	done := n.done
	n.g.Go(func() error {
		done <- d.Run(ctx)
		return nil
	})
}

// restart stops the daemon and starts it again.
func (n *httpNode) restart() {
	n.t.Helper()
	n.stop()
	if err := <-n.done; err != nil {
		n.t.Fatal(err)
	}
	n.run()
}

func (n *httpNode) heartbeat(sequence int64, slots int, draining bool) int {
	return n.heartbeatOf(time.UnixMilli(1000), sequence, slots, draining)
}

func (n *httpNode) heartbeatOf(startedAt time.Time, sequence int64, slots int, draining bool) int {
	status, err := platform.SendHeartbeat(context.Background(), http.DefaultClient, netip.MustParseAddrPort(n.controlAddr), life.Report{
		Instance: "i-" + n.id, StartedAt: startedAt, Sequence: sequence, Addr: netip.MustParseAddrPort(n.serverAddr),
		Service: n.service, Zone: n.zone, Slots: slots, Draining: draining,
	})
	if err != nil {
		return 0
	}
	return status
}

// request sends one request to the daemon.
func (n *httpNode) request(id string) (status int, header http.Header, body string) {
	return n.requestWithin(3*time.Second, id)
}

// requestWithin sends one request of a caller that waits for timeLeft.
func (n *httpNode) requestWithin(timeLeft time.Duration, id string) (status int, header http.Header, body string) {
	return n.requestPath("/x/y", timeLeft, id)
}

// requestPath sends one request with a path.
func (n *httpNode) requestPath(path string, timeLeft time.Duration, id string) (status int, header http.Header, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.outboundAddr+path, strings.NewReader("b"))
	if err != nil {
		n.t.Fatal(err)
	}
	req.Host = "h.example"
	h := platform.Headers()
	req.Header.Set(h.RequestID, id)
	req.Header.Set(h.TimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(b)
}

func (n *httpNode) isReady() bool {
	resp, err := http.Get("http://" + n.readyAddr + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// eventually polls until cond is true and fails the test after timeout.
func (s *httpCluster) eventually(timeout time.Duration, what string, cond func() bool) {
	s.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > timeout {
			s.t.Fatalf("%s: not within %s", what, timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitServed polls until a request to n gets a response from a server of the
// service.
func (s *httpCluster) awaitServed(timeout time.Duration, n *httpNode, service string) {
	s.t.Helper()
	i := 0
	s.eventually(timeout, "a request is served by "+service, func() bool {
		i++
		status, _, body := n.request(fmt.Sprintf("%s-%d", n.id, i))
		return status == 200 && strings.HasPrefix(body, "from "+service)
	})
}
