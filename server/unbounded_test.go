package server_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"sycamorespread.dev/flood"
	"sycamorespread.dev/server"
	"sycamorespread.dev/sycapb"
)

// A backend server that sends an unbounded response must not exhaust memory or hold the call: the call
// fails before its deadline, within bounded memory, and the connection is closed.
func TestUnboundedResponse(t *testing.T) {
	for name, fault := range map[string]flood.Fault{
		"head":      flood.Repeat("HTTP/1.1 200 OK\r\n", "A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
		"head line": flood.Repeat("HTTP/1.1 200 OK\r\nX-Filler: ", "a"),
		"body":      flood.Repeat("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", "a"),
		"no HTTP":   flood.Repeat("", "\x00\xffgarbage"),
	} {
		t.Run(name, func(t *testing.T) {
			f := flood.Serve(t, fault)
			c := server.New(f.Addr(), 4)
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := flood.Allocated()
			_, err := c.Run(ctx, &sycapb.RunRequest{})
			var lost *server.NoResponseError
			if !errors.As(err, &lost) || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			// A body of up to 4 MB is read into slices whose size doubles.
			if used := flood.Allocated() - before; used > 32<<20 {
				t.Errorf("allocated %d KB", used>>10)
			}
			f.WantClosed(t)
		})
	}
}
