package httpc_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/httpc"
)

const (
	uploadBytes = 2_000_000
	uploads     = 150
)

// serveConns calls handle with each accepted connection until the test ends.
func serveConns(t *testing.T, handle func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn))
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// readHead reads the first bytes of a request and leaves most of its body unread.
func readHead(c net.Conn) {
	_, _ = c.Read(make([]byte, 1024))
}

// pieces reads at most 4 KB at a time, so that an upload takes many writes.
type pieces struct {
	r io.Reader
}

// Read implements io.Reader.
func (p pieces) Read(b []byte) (int, error) {
	return p.r.Read(b[:min(len(b), 4096)])
}

// upload sends a streamed request and returns the response body, read to its end.
func upload(p *httpc.Pool, addr netip.AddrPort, buffer int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &httpc.Request{Method: "POST", Target: "/", Host: "h", Stream: pieces{bytes.NewReader(make([]byte, uploadBytes))}, Length: -1, MaxBuffer: buffer})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if resp.Stream == nil {
		return resp.Body, nil
	}
	return io.ReadAll(resp.Stream)
}

// A reset response without a length looked complete if the sender of the request got the error.
func TestHalfAnswerLooksComplete(t *testing.T) {
	for name, buffer := range map[string]int64{"buffered": maxBuffer, "streamed": 0} {
		t.Run(name, func(t *testing.T) {
			addr := serveConns(t, func(c *net.TCPConn) {
				readHead(c)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", make([]byte, 10_000))
				time.Sleep(500 * time.Microsecond)
				_ = c.SetLinger(0)
			})
			p := newPool(t)
			var complete atomic.Int64
			var g errgroup.Group
			g.SetLimit(4)
			for range uploads {
				g.Go(func() error {
					if _, err := upload(p, addr, buffer); err == nil {
						complete.Add(1)
					}
					return nil
				})
			}
			_ = g.Wait()
			if n := complete.Load(); n > 0 {
				t.Errorf("%d of %d truncated responses looked complete", n, uploads)
			}
		})
	}
}

// A response without a length to a request that the server read completely arrives whole.
func TestWholeAnswerWithoutLengthLooksTruncated(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 40_000)
	addr := serveConns(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = c.Write(append([]byte("HTTP/1.0 200 OK\r\n\r\n"), answer...))
	})
	p := newPool(t)
	for _, buffer := range []int64{maxBuffer, 0} {
		for range uploads {
			got, err := upload(p, addr, buffer)
			if err != nil || !bytes.Equal(got, answer) {
				t.Fatalf("buffer %d: %d bytes, error %v", buffer, len(got), err)
			}
		}
	}
}

// A caller that stalled in its upload held an exchange whose server had ended the response.
func TestStalledUploadOutlastsTheDeadline(t *testing.T) {
	addr := serveConns(t, func(c *net.TCPConn) {
		readHead(c)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	p := newPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	stalled, w := io.Pipe()
	defer func() { _ = w.Close() }()
	start := time.Now()
	_, err := p.Do(ctx, addr, &httpc.Request{
		Method: "POST", Target: "/", Host: "h", Stream: stalled, Length: -1, MaxBuffer: maxBuffer,
		StopStream: func() { _ = stalled.Close() },
	})
	if err == nil {
		t.Error("the response looks complete")
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("the exchange ended after %s", elapsed)
	}
}
