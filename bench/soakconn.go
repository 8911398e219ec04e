package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// maxRepeatDelay is the longest time after a response at which a server writes it again.
	maxRepeatDelay = 300 * time.Millisecond
	// repeatRatio is the share of the responses that a repeating server writes twice.
	repeatRatio = 0.2
	// splitDelay is the time between the segments of a response of a splitting server.
	splitDelay = 5 * time.Millisecond
)

// unsoundListener is the listener of a backend server that writes responses again or in pieces.
type unsoundListener struct {
	net.Listener
	repeating, splitting *atomic.Bool
}

// Accept implements net.Listener.
func (l *unsoundListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept as backend server")
	}
	return &unsoundConn{Conn: c, l: l}, nil
}

// unsoundConn is a connection of such a server. The HTTP server writes each response by one call.
type unsoundConn struct {
	net.Conn
	l  *unsoundListener
	mu sync.Mutex
	g  errgroup.Group
}

// Write implements net.Conn.
func (c *unsoundConn) Write(b []byte) (int, error) {
	if c.l.repeating.Load() && rand.Float64() < repeatRatio {
		again := append([]byte(nil), b...)
		delay := rand.N(maxRepeatDelay)
		c.g.Go(func() error {
			time.Sleep(delay)
			// The connection may be closed by now.
			_, _ = c.write(again)
			return nil
		})
	}
	return c.write(b)
}

func (c *unsoundConn) write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.l.splitting.Load() || len(b) < 2 {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:rand.IntN(len(b)-1)+1])
	if err != nil {
		return n, err
	}
	time.Sleep(splitDelay)
	m, err := c.Conn.Write(b[n:])
	return n + m, err
}
