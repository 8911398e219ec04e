package daemon

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/burn"
	"sycamorespread.dev/front"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/life"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// peerDialTimeout bounds the time to connect to another daemon.
	peerDialTimeout = 400 * time.Millisecond
	// serverDialTimeout bounds the time to connect to the backend server.
	serverDialTimeout = time.Second
	// peerIdleTimeout is how long an idle HTTP connection to another daemon is kept; inboundIdleTimeout is longer.
	peerIdleTimeout    = 60 * time.Second
	inboundIdleTimeout = 120 * time.Second
	// corePeerConns is the number of idle connections to another daemon that are kept for peerIdleTimeout. Each costs
	// both daemons about 10 KB. Those beyond it are kept for excessIdleTimeout, a few times the length of a run.
	corePeerConns     = 1
	excessIdleTimeout = 4 * time.Second
	// serverIdleTimeout is how long an idle connection to the backend server is kept if the server sets no timeout.
	serverIdleTimeout = 4 * time.Second
	// unsoundTime is how long a backend server counts as unsound after bytes that belong to no request. Meanwhile
	// idempotent requests, or about ten kept connections, show whether it still sends them.
	unsoundTime = 10 * time.Second
	// outboundIdleTimeout is how long an idle connection of a caller is kept.
	outboundIdleTimeout = 75 * time.Second
	// maxIdlePeerConns and maxIdleServerConns bound the idle connections to one address.
	maxIdlePeerConns   = 64
	maxIdleServerConns = 256
	// usableSlotRatio is the ratio of the backend server's slots that is used. Backend servers slow down when they are
	// nearly full, and probes and new connections take slots too.
	usableSlotRatio = 0.95
	// serverProbeInterval is the time between two health checks of a backend server that is still unknown.
	serverProbeInterval = 250 * time.Millisecond
	// routeObjective is the ratio of a route's requests that should get a response within the target latency. The
	// operator's configuration has no setting for it.
	routeObjective = 0.99
	// sweepInterval is the time between two sweeps that close expired idle connections.
	sweepInterval = 2 * time.Second
)

// Adapter connects a daemon to the platform that it runs on. The zero value is
// for a daemon without a platform.
type Adapter struct {
	// StoreTransport returns the transport to the key-value store at an address.
	StoreTransport func(addr netip.AddrPort) store.Transport
	// PolicyKey is the store key of the operator's policy, and DecodePolicy decodes its value.
	PolicyKey    string
	DecodePolicy func(text string) (*policy.Policy, error)
	// Headers holds the names of the header fields of HTTP requests.
	Headers front.Headers
	// DroppedLogs returns the number of dropped log lines. It is nil if the number is not known.
	DroppedLogs func() int64
	// HeartbeatHandler returns the handler for heartbeats and deregistrations of the backend server.
	HeartbeatHandler func(HeartbeatSink) http.Handler
}

// HeartbeatSink holds the callbacks for heartbeats and deregistrations of a
// backend server.
type HeartbeatSink struct {
	// OnHeartbeat handles a heartbeat. It returns an error if the heartbeat is not of a backend server of this
	// daemon.
	OnHeartbeat func(life.Report) error
	// OnDeregister handles a deregistration. startedAt is the start time of the server, zero if it was not sent.
	OnDeregister func(id string, startedAt time.Time)
	// OnInvalid handles an invalid message.
	OnInvalid func(id string, err error)
}

// openFront creates the HTTP interface and opens its listeners.
func (d *Daemon) openFront() error {
	d.serverDown.Store(true)
	d.serverTracker = life.New(d.cfg.ServerAddr, time.Now, d.serverChanged)
	d.peerPool = httpc.New(httpc.Config{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdleConns: maxIdlePeerConns, CoreIdleConns: corePeerConns, ExcessIdleTimeout: excessIdleTimeout, Now: time.Now})
	d.serverPool = httpc.New(httpc.Config{
		DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout, MaxIdleConns: maxIdleServerConns,
		SingleFields: d.adapter.Headers.Single(), UnsoundTime: unsoundTime, OnStray: d.recordStray, Now: time.Now,
	})
	d.front = front.New(front.Config{
		Self:            d.cfg.ID,
		Incarnation:     d.incarnation,
		Service:         d.cfg.Service,
		ServerAddr:      d.cfg.ServerAddr,
		Headers:         d.adapter.Headers,
		Policy:          d.policyHolder.Policy,
		Server:          d.serverTracker.Server,
		OnServerDown:    d.serverTracker.MarkDown,
		OnServerLeaving: d.serverLeaving,
		Probe:           d.node.Reachable,
		Stopping:        d.leaving.Load,
		Closing:         d.closing.Load,
		StopEnd:         d.stopEndsAt,
		RejectsInbound:  d.rejectsInbound,
		RejectsNested:   d.rejectsNested,
		Table:           d.table,
		Gate:            d.gate,
		Budgets:         d.budgets,
		Quarantine:      d.quarantine,
		PeerPool:        d.peerPool,
		ServerPool:      d.serverPool,
		OnServed:        d.recordRoute,
		Stats:           d.stats,
		Guard:           d.guard,
		Log:             d.log,
		Now:             time.Now,
	})
	if p := d.policyHolder.Policy(); p != nil {
		d.addServices(p)
	}
	for _, s := range d.newHTTPServers() {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return errors.Wrapf(err, "listen on tcp %s", s.Addr)
		}
		d.httpServers = append(d.httpServers, boundServer{Server: s, l: acceptListener{Listener: l, onFailure: d.acceptFailed}})
	}
	return nil
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	*http.Server
	l net.Listener
}

// newHTTPServers returns the servers of the HTTP interface. The first one
// serves callers.
func (d *Daemon) newHTTPServers() []*http.Server {
	c := d.cfg.Front
	list := []*http.Server{
		d.newHTTPServer("entry", c.Outbound, d.front.Outbound(), outboundIdleTimeout),
		d.newHTTPServer("ingress", c.Inbound, d.front.Inbound(), inboundIdleTimeout),
		d.newLocalServer("ready", c.Ready, http.HandlerFunc(d.serveReady)),
		d.newLocalServer("heartbeat", c.Control, d.adapter.HeartbeatHandler(HeartbeatSink{OnHeartbeat: d.handleReport, OnDeregister: d.serverDeregistered, OnInvalid: d.badHeartbeat})),
	}
	if c.Metrics.IsValid() {
		list = append(list, d.newLocalServer("metrics", c.Metrics, http.HandlerFunc(d.serveMetrics)))
	}
	return list
}

// newLocalServer returns a server whose requests and responses are short.
func (d *Daemon) newLocalServer(task string, addr netip.AddrPort, h http.Handler) *http.Server {
	s := d.newHTTPServer(task, addr, h, outboundIdleTimeout)
	s.ReadTimeout, s.WriteTimeout = headerTimeout, headerTimeout
	return s
}

func (d *Daemon) newHTTPServer(task string, addr netip.AddrPort, h http.Handler, idle time.Duration) *http.Server {
	return &http.Server{
		Addr:              addr.String(),
		Handler:           d.guard.Handler(task, h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       front.ConnContext,
		ErrorLog:          stdlog.New(debugWriter{d.log}, "", 0),
	}
}

// debugWriter writes the errors that net/http reports for single connections to
// the log at debug level.
type debugWriter struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.WithField("detail", strings.TrimSpace(string(line))).Debug("connection")
	return len(line), nil
}

// runFront runs the HTTP interface until ctx ends.
func (d *Daemon) runFront(ctx context.Context, g *errgroup.Group) {
	for _, s := range d.httpServers {
		g.Go(func() error { return serveHTTP(s.Server, s.l) })
	}
	g.Go(func() error { return d.guard.Loop(ctx, "ask", d.discoverServer) })
	g.Go(func() error {
		for sleep(ctx, sweepInterval) {
			d.peerPool.CloseExpired()
			d.serverPool.CloseExpired()
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		for _, s := range d.httpServers {
			// Connections that are still open are closed on purpose.
			_ = s.Close()
		}
		d.peerPool.Close()
		d.serverPool.Close()
		return nil
	})
}

// discoverServer probes the backend server until its state is known, so that a
// restarted daemon need not wait for a heartbeat.
func (d *Daemon) discoverServer(ctx context.Context) error {
	for d.serverTracker.Server().State == life.Unknown {
		if p := d.policyHolder.Policy(); p != nil && p.Table != nil {
			d.probeServer(ctx, p.Table.Service(d.cfg.Service))
		}
		if !sleep(ctx, serverProbeInterval) {
			return nil
		}
	}
	return nil
}

// probeServer makes one health check and records the instance ID and slots in
// the response.
func (d *Daemon) probeServer(ctx context.Context, s *policy.Service) {
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sentAt := time.Now()
	// A health check has no ID. Only the first response on a connection can't be that to another request.
	resp, err := d.serverPool.Do(ctx, d.cfg.ServerAddr, &httpc.Request{Method: http.MethodGet, Target: s.HealthPath, Host: d.cfg.ServerAddr.String(), NewConn: true, MaxBuffer: maxHeaderBytes})
	if err != nil {
		d.log.WithField("err", err).Info("health check of backend server failed")
		return
	}
	defer resp.Close()
	loadFields := strings.Split(resp.Header.Get(d.adapter.Headers.Load), ",")
	slots, err := strconv.Atoi(loadFields[len(loadFields)-1])
	id := resp.Header.Get(d.adapter.Headers.Instance)
	if id != "" && resp.Header.Get(d.adapter.Headers.Leaving) != "" {
		d.serverLeaving(id, time.Time{})
		return
	}
	if resp.Status != http.StatusOK || id == "" || err != nil || slots < 1 || slots > life.MaxSlots {
		d.log.WithFields(logrus.Fields{"status": resp.Status, "instance": id}).Info("health check response does not identify the backend server")
		return
	}
	d.serverTracker.HandleProbe(id, d.cfg.Service, slots)
	d.front.ObserveServer(front.Observation{Server: d.serverTracker.Server(), Header: resp.Header, SentAt: sentAt})
}

// recordStray logs and counts bytes of the backend server that belong to no request.
func (d *Daemon) recordStray(s httpc.Stray) {
	d.stats.Stray(string(s.Place))
	d.log.WithFields(logrus.Fields{"place": s.Place, "carried": s.Carried, "instance": d.serverTracker.Server().Instance}).Warn("backend server sent bytes that belong to no request")
}

// serverChanged applies a change of the backend server's state and announces it
// to the members.
func (d *Daemon) serverChanged(s life.Server) {
	ready := s.State == life.Ready
	d.log.WithFields(logrus.Fields{
		"instance": s.Instance, "service": s.Service, "state": s.State, "slots": s.Slots,
		"sequence": s.Sequence, "born": s.StartedAt.UnixMilli(), "cold": time.Until(s.ColdUntil).Round(time.Millisecond),
	}).Info("backend server")
	if ready {
		// A cold server is slower in all its slots, so the gate gets no warm-up: it learns the run times.
		d.gate.Reconfigure(max(1, int(usableSlotRatio*float64(s.Slots))), 0)
		d.serverPool.CloseIdle(d.cfg.ServerAddr)
	}
	d.serverDown.Store(!ready)
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) {
		e.Service = s.Service
		e.Slots = uint32(s.Slots)
		e.Instance = s.Instance
		e.Down = !ready || !d.joined.Load() || d.refusing.Load()
	})
	d.routesChanged()
}

// serverLeaving handles a response in which the backend server states that it is
// leaving.
func (d *Daemon) serverLeaving(id string, startedAt time.Time) {
	d.log.WithFields(logrus.Fields{"instance": id, "known": d.serverTracker.Server().Instance}).Info("backend server responds that it is leaving")
	d.serverTracker.MarkLeaving(id, startedAt)
}

func (d *Daemon) serverDeregistered(id string, startedAt time.Time) {
	d.log.WithFields(logrus.Fields{"instance": id, "known": d.serverTracker.Server().Instance}).Info("backend server deregistered")
	d.serverTracker.MarkLeaving(id, startedAt)
}

func (d *Daemon) badHeartbeat(id string, err error) {
	d.log.WithFields(logrus.Fields{"instance": id, "err": err}).Warn("invalid message from a backend server")
}

// recordRoute counts a request of a route for the SLO burn report.
func (d *Daemon) recordRoute(r *policy.Route, service string, inTime bool) {
	m := burn.Method{Service: service, Name: r.Name, Class: fmt.Sprintf("rank %d", r.Rank)}
	d.burnRecorder.Record(m, routeObjective, inTime)
}

// serveReady responds with 503 if callers should not be directed to this daemon.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || !d.joined.Load() || d.policyHolder.Policy() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics writes all metrics, one line of name and value each.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.updateGauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, m := range d.stats.Snapshot() {
		fmt.Fprintf(w, "sycd_%s %g\n", strings.ReplaceAll(m.Name, ".", "_"), m.Value)
	}
}
