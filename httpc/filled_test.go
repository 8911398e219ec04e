package httpc_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamorespread.dev/httpc"
)

// A body may contain a response if its server sends nothing else.
func TestBodyThatContainsAResponse(t *testing.T) {
	body := strings.Repeat("b", 300) + "HTTP/1.1 503 Service Unavailable\r\n\r\n" + strings.Repeat("b", 300)
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, write := range map[string]func(net.Conn, string){"whole": writeWhole, "single bytes": writeBytes} {
		addr, conns := serveRaw(t, write, raw, raw, raw)
		p := newPool(t)
		for n := range 3 {
			if resp, err := get(t, p, addr); err != nil || string(resp.Body) != body {
				t.Errorf("%s, response %d: error %v", name, n, err)
			}
		}
		if n := conns.Load(); n != 1 {
			t.Errorf("%s: %d connections", name, n)
		}
	}
}

// A cut body that another response fills must not look whole, wherever a read ends.
func TestFilledBodyLooksWhole(t *testing.T) {
	for name, write := range map[string]func(net.Conn, string){"whole": writeWhole, "single bytes": writeBytes} {
		for _, buffer := range []int64{0, maxBuffer} {
			t.Run(fmt.Sprintf("%s, buffer %d", name, buffer), func(t *testing.T) {
				t.Parallel()
				from := 1
				if name == "single bytes" {
					// Fewer bytes can't be told from those of the body.
					from = len("HTTP/1.")
				}
				for missing := from; missing < len(earlierResponse); missing++ {
					var spliced *httpc.SpliceError
					if err := readFilled(t, write, missing, buffer); !errors.As(err, &spliced) {
						t.Errorf("%d bytes missing: error %v", missing, err)
					}
				}
			})
		}
	}
}

const earlierResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend"

// readFilled reads a response whose last bytes are missing. An earlier response follows on its
// connection, and its server has sent bytes that belong to no request some seconds before, so that
// the connection was kept to test it.
func readFilled(t *testing.T, write func(net.Conn, string), missing int, buffer int64) error {
	t.Helper()
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("b", 400)
	var conns atomic.Int64
	addr := serveConns(t, func(c *net.TCPConn) {
		readHead(c)
		if conns.Add(1) == 1 {
			_, _ = io.WriteString(c, whole+"stray")
			return
		}
		_, _ = io.WriteString(c, whole)
		readHead(c)
		_, _ = io.WriteString(c, whole[:len(whole)-missing])
		write(c, earlierResponse)
		readHead(c)
	})
	var passed time.Duration
	now := func() time.Time { return time.Now().Add(passed) }
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 4, UnsoundTime: time.Minute, Now: now})
	defer p.Close()
	for range 2 {
		if _, err := get(t, p, addr); err != nil {
			t.Fatal(err)
		}
		passed += 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &httpc.Request{Method: "GET", Target: "/", Host: "h", MaxBuffer: buffer})
	if err != nil {
		return err
	}
	defer resp.Close()
	if resp.Stream == nil {
		return nil
	}
	_, err = io.ReadAll(resp.Stream)
	return err
}
