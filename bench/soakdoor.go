package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// doorMode is what a door does to the connections through it.
type doorMode int

const (
	doorOpen doorMode = iota
	// doorDelay holds each piece for a moment.
	doorDelay
	// doorSilent holds both directions, doorOneWay only the answers.
	doorSilent
	doorOneWay
	// doorReset breaks open connections and new ones.
	doorReset
)

const (
	// doorLag is the time for which a delaying door holds a piece.
	doorLag = 80 * time.Millisecond
	// doorPoll is the time between two looks of a silent door at its mode.
	doorPoll = 20 * time.Millisecond
)

// door is a TCP relay in front of one address, whose connections the soak
// disturbs.
type door struct {
	at, to netip.AddrPort
	l      net.Listener

	mu    sync.Mutex
	mode  doorMode
	conns map[net.Conn]bool
}

func newDoor(at, to netip.AddrPort) (*door, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	return &door{at: at, to: to, l: l, conns: map[net.Conn]bool{}}, nil
}

// set changes the mode; a reset breaks what is open.
func (d *door) set(m doorMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	if m != doorReset {
		return
	}
	for c := range d.conns {
		breakOff(c)
	}
}

func breakOff(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (d *door) now() doorMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

// keep notes an open connection until the returned function is called.
func (d *door) keep(c net.Conn) func() {
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

// serve relays until ctx ends.
func (d *door) serve(ctx context.Context) error {
	var g errgroup.Group
	defer context.AfterFunc(ctx, func() {
		_ = d.l.Close()
		d.set(doorReset)
	})()
	for {
		c, err := d.l.Accept()
		if err != nil {
			return g.Wait()
		}
		g.Go(func() error {
			d.relay(ctx, c)
			return nil
		})
	}
}

func (d *door) relay(ctx context.Context, in net.Conn) {
	defer d.keep(in)()
	if d.now() == doorReset {
		breakOff(in)
		return
	}
	out, err := net.DialTimeout("tcp", d.to.String(), time.Second)
	if err != nil {
		breakOff(in)
		return
	}
	defer d.keep(out)()
	var g errgroup.Group
	g.Go(func() error { return d.copy(ctx, out, in, false) })
	g.Go(func() error { return d.copy(ctx, in, out, true) })
	// The connection has ended at one of its sides.
	_ = g.Wait()
}

// copy relays one direction, back for that of the answers.
func (d *door) copy(ctx context.Context, to, from net.Conn, back bool) error {
	defer func() { _ = to.Close() }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		d.hold(ctx, back)
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.Close()
				return werr
			}
		}
		if err != nil {
			return err
		}
	}
}

// hold waits as the mode has it.
func (d *door) hold(ctx context.Context, back bool) {
	for ctx.Err() == nil {
		switch m := d.now(); {
		case m == doorDelay:
			sleepFor(ctx, doorLag)
			return
		case m == doorSilent, m == doorOneWay && back:
			sleepFor(ctx, doorPoll)
		default:
			return
		}
	}
}

// sleepFor waits for dur or until ctx ends.
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
