// Package guard keeps a panic in one task from ending the process.
//
// A daemon serves many callers at once; a fault in the code that handles one
// message must not take the others with it. A Guard runs a task, and turns a
// panic into a log line with its stack and a count.
//
//	g := guard.New(log, stats.Panic)
//	g.Call("packet", func() { handle(packet) })
//	group.Go(func() error { return g.Loop(ctx, "probe", node.Probe) })
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

// restartDelay is the pause before a loop that panicked runs again: long enough
// that a panic at each start cannot use up the processor or fill the log.
const restartDelay = 500 * time.Millisecond

// PanicError reports a task that ended by a panic.
type PanicError struct {
	// Task names the task, Value is what it panicked with.
	Task  string
	Value any
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v", e.Task, e.Value)
}

// Guard runs tasks. A nil Guard runs them unguarded.
type Guard struct {
	log   *logrus.Entry
	count func(task string)
}

// New returns a Guard that logs each panic and calls count with its task.
func New(log *logrus.Entry, count func(task string)) *Guard {
	return &Guard{log: log, count: count}
}

// Call runs f and returns a *PanicError when it panics.
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

// Loop runs f, again after a pause when it panics, until it returns.
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

// Handler answers a request whose handler panics with status 500, or ends its
// connection when the answer has begun. http.ErrAbortHandler passes.
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
				// Part of an answer may be out already; it must not look whole.
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusInternalServerError)
		}()
		h.ServeHTTP(w, r)
	})
}

func (g *Guard) report(task string, v any) error {
	if g.count != nil {
		g.count(task)
	}
	g.log.WithFields(logrus.Fields{"task": task, "panic": v, "stack": string(debug.Stack())}).Error("task panicked")
	return &PanicError{Task: task, Value: v}
}
