package server_test

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/server"
	"sycamorespread.dev/sycapb"
)

// A backend server sends bytes without end in place of an answer. The call is
// lost in time and costs little memory.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, fault := range map[string]struct{ head, part string }{
		"head":      {"HTTP/1.1 200 OK\r\n", "A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
		"head line": {"HTTP/1.1 200 OK\r\nX-Filler: ", "aaaaaaaa"},
		"body":      {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "aaaaaaaa"},
		"no HTTP":   {"", "\x00\xffgarbage"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g errgroup.Group
			g.Go(func() error {
				c, err := l.Accept()
				if err != nil {
					return nil
				}
				defer func() { _ = c.Close() }()
				part := []byte(strings.Repeat(fault.part, 512))
				_, err = io.WriteString(c, fault.head)
				for err == nil {
					_, err = c.Write(part)
				}
				return nil
			})
			defer func() {
				_ = l.Close()
				_ = g.Wait()
			}()
			c := server.New(l.Addr().(*net.TCPAddr).AddrPort(), 4)
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = c.Run(ctx, &sycapb.RunRequest{})
			runtime.ReadMemStats(&after)
			var lost *server.LostError
			if !errors.As(err, &lost) || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			// A body is read up to 4 MB, in slices that double.
			if used := after.TotalAlloc - before.TotalAlloc; used > 32<<20 {
				t.Errorf("allocated %d KB", used>>10)
			}
		})
	}
}
