// Package logs writes log lines without ever blocking the caller.
//
// Lines go into a bounded buffer that a task of its own empties into the
// output. Lines that do not fit, because the output is slow or because they
// come faster than the allowed rate, are dropped and counted; the count is
// written as a line of its own once there is room.
//
//	w := logs.New(os.Stdout, logs.Limits{Buffer: 1 << 20, Rate: 256 << 10})
//	log.SetOutput(w)
//	g.Go(func() error { return w.Run(ctx) })
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// flushEvery is the time between two writes to the output.
const flushEvery = 200 * time.Millisecond

// Limits bounds the lines.
type Limits struct {
	// Buffer is the largest number of bytes that wait to be written.
	Buffer int
	// Rate is the number of bytes per second in the long run; twice that may come at once.
	Rate int
}

// Writer is a writer that drops what does not fit. It is safe for concurrent
// use.
type Writer struct {
	out     io.Writer
	max     int
	limit   *rate.Limiter
	dropped atomic.Int64

	mu    sync.Mutex
	lines []byte
	spare []byte
	told  int64
}

// New returns a writer to out.
func New(out io.Writer, l Limits) *Writer {
	return &Writer{out: out, max: l.Buffer, limit: rate.NewLimiter(rate.Limit(l.Rate), 2*l.Rate)}
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Write takes one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines)+len(line) > w.max || !w.limit.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines = append(w.lines, line...)
	return len(line), nil
}

// Run writes the lines until ctx ends, then writes what is left.
func (w *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.Flush()
		case <-t.C:
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// Flush writes the lines that wait.
func (w *Writer) Flush() error {
	w.mu.Lock()
	batch := w.lines
	w.lines = w.spare[:0]
	w.spare = nil
	if n := w.dropped.Load(); n > w.told {
		batch = fmt.Appendf(batch, "level=warning msg=\"log lines dropped\" dropped=%d total=%d\n", n-w.told, n)
		w.told = n
	}
	w.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	_, err := w.out.Write(batch)
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
	return errors.Wrap(err, "write the log")
}
