package httpc_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/httpc"
)

const (
	// memoryMost is what one answer without end may cost, in bytes allocated
	// over the whole exchange; an instance may have 184 MB for many of them.
	memoryMost = 4 << 20
	// answerMost is the buffer for one answer in these tests, in bytes.
	answerMost = 256 << 10
)

// endless serves one fault to each connection until the client closes it, and
// counts the connections that the client closed.
type endless struct {
	l      net.Listener
	g      errgroup.Group
	closed chan struct{}
}

func serveEndless(t testing.TB, fault func(w io.Writer) error) *endless {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endless{l: l, closed: make(chan struct{}, 64)}
	e.g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			e.g.Go(func() error {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return nil
				}
				if fault(c) == nil {
					_, _ = io.Copy(io.Discard, c)
				}
				e.closed <- struct{}{}
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = e.g.Wait()
	})
	return e
}

func (e *endless) addr() netip.AddrPort {
	return e.l.Addr().(*net.TCPAddr).AddrPort()
}

// repeat writes head and then part again and again until the client closes.
func repeat(head, part string) func(w io.Writer) error {
	many := []byte(strings.Repeat(part, max(1, 4096/len(part))))
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for {
			if _, err := w.Write(many); err != nil {
				return err
			}
		}
	}
}

// slow writes head and then one byte at a time.
func slow(head string) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for {
			if _, err := w.Write([]byte("x")); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func newPool(t testing.TB) *httpc.Pool {
	p := httpc.New(httpc.Config{DialTimeout: time.Second, Idle: time.Second, MaxIdle: 4, Now: time.Now})
	t.Cleanup(p.Close)
	return p
}

// Bytes without end, in each part of an answer: the exchange ends before its
// time with an error, memory stays bounded, and the connection is closed.
func TestBytesWithoutEndInTheHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	faults := map[string]func(w io.Writer) error{
		"many lines":       repeat(ok, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
		"one line":         repeat(ok+"X-Filler: ", "a"),
		"short lines":      repeat(ok, "A:\r\n"),
		"continued line":   repeat(ok+"X-Filler: a\r\n", " a\r\n"),
		"status line":      repeat("HTTP/1.1 200 ", "O"),
		"no HTTP":          repeat("", "\x00\xffgarbage"),
		"interim answers":  repeat("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"long interim":     repeat("", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 3000)+"\r\n\r\n"),
		"interim, no end":  repeat("HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"),
		"chunk extension":  repeat(ok+"Transfer-Encoding: chunked\r\n\r\n5;", "a=b;"),
		"chunk extensions": repeat(ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 2000)+"\r\nx\r\n"),
		"trailer":          repeat(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n"),
		"trailer line":     repeat(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "a"),
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			e := serveEndless(t, fault)
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := allocated()
			resp, err := p.Do(ctx, e.addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", Buffer: answerMost})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Rest)
				resp.Close()
			} else {
				var lost *httpc.LostError
				if !errors.As(err, &lost) {
					t.Errorf("error %T %v", err, err)
				}
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			if used := allocated() - before; used > memoryMost {
				t.Errorf("allocated %d KB", used>>10)
			}
			e.wantClosed(t)
		})
	}
}

func TestBytesWithoutEndInTheBody(t *testing.T) {
	faults := map[string]func(w io.Writer) error{
		"no length":    repeat("HTTP/1.1 200 OK\r\n\r\n", "body"),
		"false length": repeat("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "body"),
		"chunks":       repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
		"huge chunk":   repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "body"),
	}
	for name, fault := range faults {
		for _, buffer := range []int64{0, answerMost} {
			t.Run(fmt.Sprintf("%s, buffer %d", name, buffer), func(t *testing.T) {
				e := serveEndless(t, fault)
				p := newPool(t)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				before := allocated()
				resp, err := p.Do(ctx, e.addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", Buffer: buffer})
				if err != nil {
					t.Fatal(err)
				}
				if resp.Rest == nil {
					t.Fatalf("body of %d bytes taken as whole", len(resp.Body))
				}
				if n, err := io.CopyN(io.Discard, resp.Rest, 16<<20); n != 16<<20 {
					t.Errorf("read %d bytes of the rest: %v", n, err)
				}
				resp.Close()
				if used := allocated() - before; used > memoryMost {
					t.Errorf("allocated %d KB", used>>10)
				}
				e.wantClosed(t)
			})
		}
	}
}

// An answer whose bytes come one at a time ends with the request's time.
func TestSlowBytesWithoutEnd(t *testing.T) {
	faults := map[string]func(w io.Writer) error{
		"head":  slow("HTTP/1.1 200 OK\r\nX-Filler: "),
		"body":  slow("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"),
		"chunk": slow("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"),
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			e := serveEndless(t, fault)
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, err := p.Do(ctx, e.addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", Buffer: answerMost})
			var lost *httpc.LostError
			if !errors.As(err, &lost) || !errors.Is(lost.Err, context.DeadlineExceeded) {
				t.Errorf("error %v", err)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("took %s", took)
			}
			e.wantClosed(t)
		})
	}
}

func (e *endless) wantClosed(t *testing.T) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection was not closed")
	}
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
