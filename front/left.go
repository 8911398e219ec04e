package front

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptBacklogTime is how long after a failure to accept a connection some of those that had to wait
// may still be accepted.
const acceptBacklogTime = 5 * time.Second

// connKey is the context key of the connection that carries a request.
type connKey struct{}

// ConnContext adds a connection to the context of its requests. It is the ConnContext of an http.Server
// that serves a Front.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		// The connection is closed already, so no request will be read from it.
		return ctx
	}
	return context.WithValue(ctx, connKey{}, raw)
}

// AcceptFailed reports that a connection could not be accepted, so that some wait.
func (f *Front) AcceptFailed() {
	now := f.Now()
	f.acceptFailedAt.Store(&now)
}

// peerLeft reports whether the peer has closed the connection of a request, if connections had to wait
// to be accepted lately. The context of the request is canceled a moment later, while the request may
// be on its way to a backend server.
func (f *Front) peerLeft(ctx context.Context) bool {
	failedAt := f.acceptFailedAt.Load()
	if failedAt == nil || f.Now().Sub(*failedAt) > acceptBacklogTime {
		return false
	}
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	left := false
	// net/http is reading from the connection, so RawConn.Read would wait for it.
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return left || err != nil
}

// resetOnClose makes the end of the connection of a request a reset.
func resetOnClose(ctx context.Context) {
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return
	}
	// This fails only on a closed connection.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
