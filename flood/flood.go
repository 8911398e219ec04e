// Package flood provides HTTP test servers that send unbounded responses.
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
	// chunkSize is the number of bytes per write.
	chunkSize = 4096
	// slowInterval is the interval between two bytes of Slow.
	slowInterval = 20 * time.Millisecond
	// closeTimeout limits the wait of WantClosed.
	closeTimeout = 2 * time.Second
	// maxClosed is the maximum number of closed connections not yet seen by WantClosed.
	maxClosed = 64
)

// Fault writes a faulty response until the client closes the connection.
type Fault func(w io.Writer) error

// Server responds to each request with a Fault.
type Server struct {
	listener net.Listener
	g        errgroup.Group
	closed   chan struct{}
}

// Serve starts a Server that stops at the end of the test.
func Serve(t testing.TB, fault Fault) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, closed: make(chan struct{}, maxClosed)}
	s.g.Go(func() error { return s.accept(fault) })
	t.Cleanup(func() {
		_ = l.Close()
		_ = s.g.Wait()
	})
	return s
}

// Addr returns the address of the Server.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// WantClosed fails the test unless a client closes its connection within closeTimeout.
func (s *Server) WantClosed(t testing.TB) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
		t.Error("connection not closed by the client")
	}
}

func (s *Server) accept(fault Fault) error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			// The listener was closed at the end of the test.
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

// Repeat writes head and then repeats chunk without end.
func Repeat(head, chunk string) Fault {
	block := []byte(strings.Repeat(chunk, max(1, chunkSize/len(chunk))))
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		for {
			if _, err := w.Write(block); err != nil {
				return err
			}
		}
	}
}

// Slow writes head and then single bytes without end, one per slowInterval.
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

// Allocated returns the number of bytes that the process has allocated since its start, including
// freed ones.
func Allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
