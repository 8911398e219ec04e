package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"

	"sycamorespread.dev/sycapb"
)

// bufferSize is the size of a copy buffer in bytes.
const bufferSize = 64 << 10

// relay forwards TCP and UDP traffic to daemons, unless a cut separates the zones
// of the sender and the receiver. The IP address of a sender determines its zone.
type relay struct {
	zones map[netip.Addr]string

	mu    sync.Mutex
	cuts  map[[2]string]bool
	delay time.Duration
	conns map[*conn]bool
	group errgroup.Group
}

// conn is one relayed TCP connection.
type conn struct {
	from, to       string
	client, server net.Conn
}

// endpoint is a listen address of the relay and the daemon behind it.
type endpoint struct {
	listen, target netip.AddrPort
}

func relayCommand() *cobra.Command {
	c := &cobra.Command{Use: "relay FILE", Short: "Delay and cut traffic between zones", Args: cobra.ExactArgs(1)}
	c.RunE = func(c *cobra.Command, args []string) error {
		r, endpoints, control, err := loadRelay(args[0])
		if err != nil {
			return err
		}
		return r.serve(c.Context(), endpoints, control)
	}
	return c
}

// loadRelay reads the settings: lines "LISTEN = TARGET ZONE" in section "doors", and
// the control address in section "relay".
func loadRelay(file string) (*relay, []endpoint, string, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, file)
	if err != nil {
		return nil, nil, "", errors.Wrapf(err, "settings %s", file)
	}
	r := &relay{zones: map[netip.Addr]string{}, cuts: map[[2]string]bool{}, conns: map[*conn]bool{}}
	var endpoints []endpoint
	for _, k := range f.Section("doors").Keys() {
		target, zone, _ := strings.Cut(k.Value(), " ")
		listen, err1 := netip.ParseAddrPort(k.Name())
		to, err2 := netip.ParseAddrPort(target)
		if err1 != nil || err2 != nil || zone == "" {
			return nil, nil, "", errors.Errorf("settings %s: %q is not LISTEN = TARGET ZONE", file, k.Name()+" = "+k.Value())
		}
		r.zones[to.Addr()] = zone
		endpoints = append(endpoints, endpoint{listen: listen, target: to})
	}
	return r, endpoints, f.Section("relay").Key("control").String(), nil
}

func (r *relay) serve(ctx context.Context, endpoints []endpoint, control string) error {
	g, ctx := errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	mux.Handle(sycapb.NewRelayControlHandler(r))
	g.Go(func() error { return serveHTTP(ctx, control, mux) })
	for _, d := range endpoints {
		g.Go(func() error { return r.serveTCP(ctx, d) })
		g.Go(func() error { return r.serveUDP(ctx, d) })
	}
	err := g.Wait()
	_ = r.group.Wait()
	return err
}

// SetCuts implements the RelayControl service.
func (r *relay) SetCuts(_ context.Context, req *connect.Request[sycapb.RelayCuts]) (*connect.Response[sycapb.RelayCuts], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = map[[2]string]bool{}
	for _, c := range req.Msg.Cuts {
		r.cuts[[2]string{c.A, c.B}] = true
		r.cuts[[2]string{c.B, c.A}] = true
	}
	r.delay = time.Duration(req.Msg.DelayMs) * time.Millisecond
	for l := range r.conns {
		if r.cuts[[2]string{l.from, l.to}] {
			_ = l.client.Close()
			_ = l.server.Close()
		}
	}
	return connect.NewResponse(req.Msg), nil
}

// pathState reports whether traffic between two zones is cut, and its delay.
func (r *relay) pathState(from, to string) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[[2]string{from, to}], r.delay
}

func (r *relay) serveTCP(ctx context.Context, d endpoint) error {
	l, err := net.Listen("tcp", d.listen.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", d.listen)
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		client, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", d.listen)
		}
		r.group.Go(func() error { return r.relayConn(ctx, client, d) })
	}
}

// relayConn relays one connection until either side closes it or a cut begins.
func (r *relay) relayConn(ctx context.Context, client net.Conn, d endpoint) error {
	defer func() { _ = client.Close() }()
	from := r.zones[client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
	to := r.zones[d.target.Addr()]
	if cut, _ := r.pathState(from, to); cut {
		return nil
	}
	server, err := net.DialTimeout("tcp", d.target.String(), time.Second)
	if err != nil {
		return nil
	}
	c := &conn{from: from, to: to, client: client, server: server}
	r.track(c, true)
	defer r.track(c, false)
	defer context.AfterFunc(ctx, func() { _ = client.Close(); _ = server.Close() })()
	var g errgroup.Group
	g.Go(func() error { return r.copy(server, client, c) })
	g.Go(func() error { return r.copy(client, server, c) })
	_ = g.Wait()
	return nil
}

func (r *relay) track(c *conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[c] = true
		return
	}
	delete(r.conns, c)
}

func (r *relay) copy(dst, src net.Conn, c *conn) error {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	b := make([]byte, bufferSize)
	for {
		n, err := src.Read(b)
		if n > 0 {
			if _, delay := r.pathState(c.from, c.to); delay > 0 {
				time.Sleep(delay)
			}
			if _, werr := dst.Write(b[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *relay) serveUDP(ctx context.Context, d endpoint) error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.listen))
	if err != nil {
		return errors.Wrapf(err, "listen on udp %s", d.listen)
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	to := r.zones[d.target.Addr()]
	b := make([]byte, bufferSize)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		if cut, _ := r.pathState(r.zones[from.Addr().Unmap()], to); !cut {
			_, _ = c.WriteToUDPAddrPort(b[:n], d.target)
		}
	}
}
