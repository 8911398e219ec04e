package main_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	bench "sycamorespread.dev/bench"
)

// resetAfterPart reads the first piece of a request, sends a part of a response and resets the connection.
func resetAfterPart(c net.Conn) {
	_, _ = io.ReadFull(c, make([]byte, 5000))
	_, _ = c.Write(make([]byte, 3000))
	time.Sleep(500 * time.Microsecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A reset that the proxy meets while it writes the rest of a request must not look like an ordinary end.
func TestFaultProxyKeepsResets(t *testing.T) {
	server, free := listen(t), listen(t)
	proxy := netip.MustParseAddrPort(free.Addr().String())
	_ = free.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() {
		cancel()
		_ = server.Close()
		_ = g.Wait()
	}()
	g.Go(func() error {
		for {
			c, err := server.Accept()
			if err != nil {
				return err
			}
			resetAfterPart(c)
		}
	})
	listening := make(chan struct{})
	g.Go(func() error {
		return bench.ServeFaultProxy(ctx, proxy, netip.MustParseAddrPort(server.Addr().String()), func() { close(listening) })
	})
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		t.Fatal("the proxy does not listen")
	}
	for i := range 500 {
		if endsCleanly(t, proxy, time.Duration(i%12)*100*time.Microsecond) {
			t.Fatalf("connection %d ended cleanly, its server had reset it", i)
		}
	}
}

// endsCleanly sends a request in pieces, and reports whether its connection ended without any error.
func endsCleanly(t *testing.T, proxy netip.AddrPort, delay time.Duration) bool {
	c, err := net.Dial("tcp", proxy.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for range 3 {
		if _, err := c.Write(make([]byte, 5000)); err != nil {
			return false
		}
		time.Sleep(delay)
	}
	_, err = io.Copy(io.Discard, c)
	return err == nil
}
