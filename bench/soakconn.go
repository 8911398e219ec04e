package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/platform"
)

const (
	// maxCopyDelay is the longest time after a response at which a server writes a copy of an earlier one.
	maxCopyDelay = 300 * time.Millisecond
	// copyRatio is the share of the responses after which a copying server writes a copy.
	copyRatio = 0.2
	// immediateRatio is the share of the copies that are written without a delay.
	immediateRatio = 0.5
	// markCutRatio is the share of the copies of refusals that end with the value of the mark.
	markCutRatio = 0.5
	// copiedResponses is the number of responses that a server keeps to copy, maxCopySize that of the
	// bytes of each.
	copiedResponses = 16
	maxCopySize     = 2000
	// splitDelay is the time between the segments of a response of a splitting server.
	splitDelay = 5 * time.Millisecond
)

// unsoundListener is the listener of a backend server that writes responses in pieces, and copies of
// earlier ones after a complete response.
type unsoundListener struct {
	net.Listener
	copying, splitting *atomic.Bool

	mu sync.Mutex
	// recent are the latest responses of the server.
	recent [][]byte
}

// Accept implements net.Listener.
func (l *unsoundListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept as backend server")
	}
	return &unsoundConn{Conn: c, l: l}, nil
}

// keep adds a response to the recent ones.
func (l *unsoundListener) keep(response []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = append(l.recent, response)
	l.recent = l.recent[max(0, len(l.recent)-copiedResponses):]
}

// randomCopy returns a recent response or a part of it.
func (l *unsoundListener) randomCopy() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	response := l.recent[rand.IntN(len(l.recent))]
	if end := markEnd(response); end > 0 && rand.Float64() < markCutRatio {
		return response[:end]
	}
	begin := rand.IntN(len(response))
	switch rand.IntN(4) {
	case 0:
		return response
	case 1:
		return response[:begin+1]
	case 2:
		return response[begin:]
	}
	return response[begin : begin+1+rand.IntN(len(response)-begin)]
}

// markEnd returns the length of a response up to the value of the mark that states that a request did
// not run; 0 without a mark.
func markEnd(response []byte) int {
	begin := bytes.Index(response, []byte(platform.Headers().NotRun))
	if begin < 0 {
		return 0
	}
	return max(0, begin+bytes.Index(response[begin:], []byte("\r\n")))
}

// unsoundConn is a connection of such a server.
type unsoundConn struct {
	net.Conn
	l *unsoundListener
	g errgroup.Group

	mu sync.Mutex
	// response is what has been written of the current response, up to maxCopySize.
	response []byte
}

// Write implements net.Conn.
func (c *unsoundConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = append(c.response, b[:min(len(b), maxCopySize-len(c.response))]...)
	return c.write(b)
}

// followState is the hook of the HTTP server for a change of a connection's state. A connection
// becomes idle when a response is complete.
func followState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*unsoundConn); ok && state == http.StateIdle {
		c.endResponse()
	}
}

// endResponse notes that the current response is complete, and makes a copying server write a copy.
func (c *unsoundConn) endResponse() {
	c.mu.Lock()
	c.l.keep(c.response)
	c.response = nil
	c.mu.Unlock()
	if !c.l.copying.Load() || rand.Float64() >= copyRatio {
		return
	}
	if rand.Float64() < immediateRatio {
		c.writeCopy()
		return
	}
	delay := rand.N(maxCopyDelay)
	c.g.Go(func() error {
		time.Sleep(delay)
		c.writeCopy()
		return nil
	})
}

// writeCopy writes a copy, unless a response has begun.
func (c *unsoundConn) writeCopy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.response) == 0 {
		// The connection may be closed by now.
		_, _ = c.write(c.l.randomCopy())
	}
}

func (c *unsoundConn) write(b []byte) (int, error) {
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
