package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of the read buffer of a connection, in bytes.
	readBufferSize = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, which detects a dead
	// idle connection within 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// tcpUserTimeout is how long sent bytes may remain unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
	// idleTimeoutRatio is the share of the server's announced idle timeout for which a connection is
	// reused.
	idleTimeoutRatio = 0.8
	// maxRejectedKeys is the number of rejected requests that a connection remembers. A request returns
	// within seconds or not at all.
	maxRejectedKeys = 256
)

// pastDeadline is a deadline that makes all reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// conn is a connection; it carries one request at a time.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	addr netip.AddrPort
	// idleSince is the end of the last response.
	idleSince   time.Time
	idleTimeout time.Duration
	// carried is the number of requests that the connection carried before.
	carried int
	// rawConn gives peek access to the socket. peeked is the result of peek.
	rawConn syscall.RawConn
	peeked  peekResult
	// rejected is a ring of the keys of the latest requests that were rejected on the connection; next
	// is the index of the oldest one once it is full.
	rejected []uint64
	next     int
}

// addRejected records the key of a rejected request.
func (c *conn) addRejected(key uint64) {
	if len(c.rejected) < maxRejectedKeys {
		c.rejected = append(c.rejected, key)
		return
	}
	c.rejected[c.next] = key
	c.next = (c.next + 1) % maxRejectedKeys
}

// hasRejected reports whether a request with the key was rejected on the connection lately.
func (c *conn) hasRejected(key uint64) bool {
	return key != 0 && slices.Contains(c.rejected, key)
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &DialError{Addr: addr, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	p.dials.Add(1)
	sc, ok := nc.(syscall.Conn)
	if !ok {
		_ = nc.Close()
		return nil, &DialError{Addr: addr, Err: errors.Errorf("connection type %T does not expose its socket", nc)}
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, &DialError{Addr: addr, Err: err}
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), addr: addr, idleTimeout: p.cfg.IdleTimeout, rawConn: rawConn}, nil
}

// setUserTimeout makes the kernel close a connection whose peer does not acknowledge sent bytes.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// peekResult is what an idle connection has to read.
type peekResult int

const (
	// peekNothing means that the connection is open and has nothing to read.
	peekNothing peekResult = iota
	// peekBytes means that bytes arrived without a pending request.
	peekBytes
	// peekEnd means that the connection has ended or failed.
	peekEnd
)

// check returns what an idle connection has to read.
func (c *conn) check() peekResult {
	if c.br.Buffered() > 0 {
		return peekBytes
	}
	if c.rawConn.Read(c.peek) != nil {
		return peekEnd
	}
	return c.peeked
}

// peek checks the socket for bytes or EOF without consuming them.
func (c *conn) peek(fd uintptr) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		c.peeked = peekNothing
	case err == nil && n > 0:
		c.peeked = peekBytes
	default:
		c.peeked = peekEnd
	}
	return true
}

// parseIdleTimeout returns how long the connection may stay idle by the Keep-Alive header of a
// response, or fallback if the header has no timeout.
func parseIdleTimeout(h http.Header, fallback time.Duration) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for _, part := range strings.Split(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
				seconds = min(seconds, int(maxIdleTime.Seconds()))
				return time.Duration(idleTimeoutRatio * float64(seconds) * float64(time.Second))
			}
		}
	}
	return fallback
}
