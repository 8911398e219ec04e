// Package guard recovers panics of single tasks.
//
// A daemon serves many callers concurrently. A panic in the code that handles
// one message must not end the process and with it the requests of all other
// callers. A Guard runs a task, recovers a panic, logs it with its stack and
// counts it.
//
//	g := guard.New(log, stats.Panic)
//	g.Call("packet", func() { handle(packet) })
//	group.Go(func() error { return g.Loop(ctx, "seed", finder.MaintainSeed) })
//	server.Handler = g.Handler("entry", handler)
package guard

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// restartDelay is the delay before a loop that panicked is restarted. It keeps a loop that panics at
// every start from saturating the CPU or filling the log.
const restartDelay = 500 * time.Millisecond

// PanicError reports a task that panicked.
type PanicError struct {
	// Task is the name of the task, Value the value of the panic.
	Task  string
	Value any
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v", e.Task, e.Value)
}

// Guard runs tasks and recovers their panics. A nil Guard runs them without recovery.
type Guard struct {
	log     *logrus.Entry
	onPanic func(task string)
}

// New returns a Guard that logs each panic and calls onPanic, unless nil, with the name of the task.
func New(log *logrus.Entry, onPanic func(task string)) *Guard {
	return &Guard{log: log, onPanic: onPanic}
}

// Call runs f and returns a *PanicError if f panics.
func (g *Guard) Call(task string, f func()) (err error) {
	if g == nil {
		f()
		return nil
	}
	defer func() {
		if v := recover(); v != nil {
			err = g.report(task, v)
		}
	}()
	f()
	return nil
}

// Loop runs f until it returns, and restarts it after restartDelay if it panics. It returns nil if
// ctx is done during the delay.
func (g *Guard) Loop(ctx context.Context, task string, f func(context.Context) error) error {
	for {
		var err error
		if g.Call(task, func() { err = f(ctx) }) == nil {
			return err
		}
		t := time.NewTimer(restartDelay)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
	}
}

// Handler wraps h. If h panics, the wrapper responds with status 500, or aborts the connection if
// headers of the response are set. It passes http.ErrAbortHandler on.
func (g *Guard) Handler(task string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			_ = g.report(task, v)
			if len(w.Header()) > 0 {
				// Part of the response may have been sent; the client must not take it for complete.
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusInternalServerError)
		}()
		h.ServeHTTP(w, r)
	})
}

// report logs and counts a panic.
func (g *Guard) report(task string, v any) error {
	if g.onPanic != nil {
		g.onPanic(task)
	}
	g.log.WithFields(logrus.Fields{"task": task, "panic": v, "stack": string(debug.Stack())}).Error("task panicked")
	return &PanicError{Task: task, Value: v}
}
