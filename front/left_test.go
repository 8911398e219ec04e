package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/front"
)

// A daemon that had no descriptors left accepted connections only after their callers had closed them.
func TestRequestOfACallerThatLeftRuns(t *testing.T) {
	cl := newCluster(t, viewRoute)
	local := cl.add("plots")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 200
	for n := range requests {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: left-%d\r\nT-Left: 800\r\n\r\n", n)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	local.AcceptFailed()
	s := &http.Server{Handler: local.Outbound(), ConnContext: front.ConnContext, ReadHeaderTimeout: time.Second}
	var g errgroup.Group
	g.Go(func() error {
		if err := s.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	time.Sleep(time.Second)
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if got := local.runs.Load(); got > 0 {
		t.Errorf("%d of %d requests reached the server after their callers had left", got, requests)
	}
}
