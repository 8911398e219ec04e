package front

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

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

// peerLeft reports whether the peer has closed the connection of a request. The context of the request
// is canceled a moment later, while the request may be on its way to a backend server: it may have
// waited to be read for seconds, if the process was suspended or had no descriptor to accept the
// connection.
func peerLeft(ctx context.Context) bool {
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
