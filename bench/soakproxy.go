package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// proxyMode is the fault that a proxy injects into its connections.
type proxyMode int

const (
	proxyForward proxyMode = iota
	// proxyDelay delays each chunk by proxyDelayTime.
	proxyDelay
	// proxyStall stalls both directions, proxyStallResponses only the responses.
	proxyStall
	proxyStallResponses
	// proxyReset resets open and new connections.
	proxyReset
)

const (
	proxyDelayTime = 80 * time.Millisecond
	// proxyPollInterval is how often a stalled connection checks the mode.
	proxyPollInterval = 20 * time.Millisecond
)

// faultProxy is a TCP proxy in front of one address that injects faults into its connections.
type faultProxy struct {
	addr, target netip.AddrPort
	l            net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	// mutedBefore is the time before which accepted connections carry nothing more.
	mutedBefore time.Time
}

func newFaultProxy(addr, target netip.AddrPort) (*faultProxy, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return &faultProxy{addr: addr, target: target, l: l, conns: map[net.Conn]bool{}}, nil
}

// setMode changes the mode. proxyReset resets all open connections.
func (d *faultProxy) setMode(m proxyMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	if m != proxyReset {
		return
	}
	for c := range d.conns {
		resetConn(c)
	}
}

// mute makes all open connections silent for good. New ones work.
func (d *faultProxy) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mutedBefore = time.Now()
}

func (d *faultProxy) isMuted(accepted time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return accepted.Before(d.mutedBefore)
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (d *faultProxy) currentMode() proxyMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

// track registers an open connection. The returned function closes and removes it.
func (d *faultProxy) track(c net.Conn) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, c)
		_ = c.Close()
	}
}

// serve accepts and proxies connections until ctx ends.
func (d *faultProxy) serve(ctx context.Context) error {
	var g errgroup.Group
	defer context.AfterFunc(ctx, func() {
		_ = d.l.Close()
		d.setMode(proxyReset)
	})()
	for {
		c, err := d.l.Accept()
		if ctx.Err() != nil {
			return g.Wait()
		}
		if err != nil {
			// The process may be out of file descriptors for a moment.
			fmt.Printf("proxy=%s err=%v\n", d.addr, err)
			sleepFor(ctx, proxyPollInterval)
			continue
		}
		g.Go(func() error {
			d.handle(ctx, c)
			return nil
		})
	}
}

func (d *faultProxy) handle(ctx context.Context, in net.Conn) {
	accepted := time.Now()
	defer d.track(in)()
	if d.currentMode() == proxyReset {
		resetConn(in)
		return
	}
	out, err := net.DialTimeout("tcp", d.target.String(), time.Second)
	if err != nil {
		resetConn(in)
		return
	}
	defer d.track(out)()
	var g errgroup.Group
	g.Go(func() error { return d.forward(ctx, accepted, out, in, false) })
	g.Go(func() error { return d.forward(ctx, accepted, in, out, true) })
	// The error means that one side closed the connection.
	_ = g.Wait()
}

// forward copies one direction of a connection that was accepted at a time; isResponse is set for that
// of the responses.
func (d *faultProxy) forward(ctx context.Context, accepted time.Time, dst, src net.Conn, isResponse bool) error {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		d.applyMode(ctx, isResponse)
		for d.isMuted(accepted) && sleepFor(ctx, proxyPollInterval) {
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				// The error of a reset may come here in place of the other direction.
				resetConn(src)
				return werr
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) || isClosed(src) {
				// A reset must not look like an ordinary end.
				resetConn(dst)
			}
			return err
		}
	}
}

// isClosed reports whether a connection that was read to its end was reset. The error of a reset goes
// to only one of the goroutines on the connection, which may be the one that writes.
func isClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// applyMode waits as long as the mode requires.
func (d *faultProxy) applyMode(ctx context.Context, isResponse bool) {
	for ctx.Err() == nil {
		switch m := d.currentMode(); {
		case m == proxyDelay:
			sleepFor(ctx, proxyDelayTime)
			return
		case m == proxyStall, m == proxyStallResponses && isResponse:
			sleepFor(ctx, proxyPollInterval)
		default:
			return
		}
	}
}

// sleepFor waits for dur or until ctx ends, and reports whether dur has passed.
func sleepFor(ctx context.Context, dur time.Duration) bool {
	t := time.NewTimer(dur)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
