// Package flood serves answers without end, for the tests of clients.
//
//	f := flood.Serve(t, flood.Repeat("HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"))
//	_, err := client.Get("http://" + f.Addr().String())
//	f.WantClosed(t)
package flood

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// chunkSize is the number of bytes written at once.
	chunkSize = 4096
	// slowInterval is the time between two bytes of Slow.
	slowInterval = 20 * time.Millisecond
	// closeTimeout is how long a client has to close its connection.
	closeTimeout = 2 * time.Second
	// maxClosed is the number of closed connections that are remembered.
	maxClosed = 64
)

// Fault writes an answer until the client closes the connection.
type Fault func(w io.Writer) error

// Server gives a Fault to each request.
type Server struct {
	l      net.Listener
	g      errgroup.Group
	closed chan struct{}
}

// Serve starts a Server that ends with the test.
func Serve(t testing.TB, fault Fault) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{l: l, closed: make(chan struct{}, maxClosed)}
	s.g.Go(func() error { return s.accept(fault) })
	t.Cleanup(func() {
		_ = l.Close()
		_ = s.g.Wait()
	})
	return s
}

// Addr returns where the Server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.l.Addr().(*net.TCPAddr).AddrPort()
}

// WantClosed fails the test unless a client has closed its connection.
func (s *Server) WantClosed(t testing.TB) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
		t.Error("the connection was not closed")
	}
}

func (s *Server) accept(fault Fault) error {
	for {
		c, err := s.l.Accept()
		if err != nil {
			// The test has ended.
			return nil
		}
		s.g.Go(func() error {
			s.respond(c, fault)
			return nil
		})
	}
}

func (s *Server) respond(c net.Conn, fault Fault) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if fault(c) == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	s.closed <- struct{}{}
}

// Repeat writes head and then part again and again.
func Repeat(head, part string) Fault {
	many := []byte(strings.Repeat(part, max(1, chunkSize/len(part))))
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

// Slow writes head and then one byte at a time.
func Slow(head string) Fault {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for {
			if _, err := w.Write([]byte("x")); err != nil {
				return err
			}
			time.Sleep(slowInterval)
		}
	}
}

// Allocated returns the bytes that the process has allocated since its start,
// freed ones included.
func Allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
