// Command stand simulates external systems for tests and demos: the platform's
// key-value service, a backend server, and a relay that delays and cuts traffic
// between the zones of the daemons.
//
//	stand store --addr 127.0.0.1:7000
//	stand server FILE
//	stand relay FILE
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

func main() {
	root := &cobra.Command{Use: "stand", Short: "Simulators of external systems", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(storeCommand(), serverCommand(), relayCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(1)
	}
}

// serveHTTP serves HTTP/1 and unencrypted HTTP/2 on addr until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Addr: addr, Handler: h, Protocols: &protocols, ReadHeaderTimeout: 5 * time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := s.ListenAndServe()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve on %s", addr)
	})
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return g.Wait()
}
