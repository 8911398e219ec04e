package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of the read buffer of a connection, in bytes.
	readBuffer = 4 << 10
	// keepIdle, keepInterval and keepCount end a silent idle connection within 2 s.
	keepIdle     = time.Second
	keepInterval = 500 * time.Millisecond
	keepCount    = 2
	// unackedMost is how long sent bytes may stay without acknowledgement.
	unackedMost = 1500 * time.Millisecond
	// keepShare is the part of an announced idle timeout for which a connection is used.
	keepShare = 0.8
)

// past is a deadline that ends all reads and writes at once.
var past = time.Unix(1, 0)

// conn is one connection; one request at a time uses it.
type conn struct {
	nc   net.Conn
	in   *meter
	br   *bufio.Reader
	addr netip.AddrPort
	// idleSince is when the last answer ended.
	idleSince time.Time
	// keep is how long the connection may stay idle.
	keep   time.Duration
	reused bool
	// raw looks at the socket; quiet is what peek found.
	raw   syscall.RawConn
	quiet bool
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
		Control:         limitUnacked,
	}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &DialError{Addr: addr, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	p.dials.Add(1)
	sc, ok := nc.(syscall.Conn)
	if !ok {
		_ = nc.Close()
		return nil, &DialError{Addr: addr, Err: errors.Errorf("a connection of type %T has no socket", nc)}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, &DialError{Addr: addr, Err: err}
	}
	in := &meter{r: nc, left: unbounded}
	return &conn{nc: nc, in: in, br: bufio.NewReaderSize(in, readBuffer), addr: addr, keep: p.cfg.Idle, raw: raw}, nil
}

// limitUnacked makes the kernel break a connection whose peer does not
// acknowledge what was sent.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that came without a request belong to no request.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	return c.raw.Read(c.peek) == nil && c.quiet
}

// peek looks for bytes or the end of the connection without taking them.
func (c *conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.quiet = errors.Is(err, unix.EAGAIN)
	return true
}

// keepFor returns how long the connection may stay idle after an answer, or
// when the answer does not say.
func keepFor(h http.Header, or time.Duration) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for _, part := range strings.Split(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
				return time.Duration(keepShare * float64(seconds) * float64(time.Second))
			}
		}
	}
	return or
}
