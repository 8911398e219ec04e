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

// flushInterval is the time between two writes to the output.
const flushInterval = 200 * time.Millisecond

// Limits bounds the lines.
type Limits struct {
	// MaxBuffered is the largest number of bytes that wait to be written.
	MaxBuffered int
	// BytesPerSecond is the number of bytes per second in the long run; twice that may come at once.
	BytesPerSecond int
}

// Writer is a writer that drops what does not fit. It is safe for concurrent
// use.
type Writer struct {
	out         io.Writer
	maxBuffered int
	limiter     *rate.Limiter
	dropped     atomic.Int64

	mu            sync.Mutex
	buf           []byte
	spareBuf      []byte
	reportedDrops int64
}

// New returns a writer to out.
func New(out io.Writer, l Limits) *Writer {
	return &Writer{out: out, maxBuffered: l.MaxBuffered, limiter: rate.NewLimiter(rate.Limit(l.BytesPerSecond), 2*l.BytesPerSecond)}
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Write takes one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > w.maxBuffered || !w.limiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Run writes the lines until ctx ends, then writes what is left.
func (w *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
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
	batch := w.buf
	w.buf = w.spareBuf[:0]
	w.spareBuf = nil
	if n := w.dropped.Load(); n > w.reportedDrops {
		batch = fmt.Appendf(batch, "level=warning msg=\"log lines dropped\" dropped=%d total=%d\n", n-w.reportedDrops, n)
		w.reportedDrops = n
	}
	w.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	_, err := w.out.Write(batch)
	w.mu.Lock()
	w.spareBuf = batch
	w.mu.Unlock()
	return errors.Wrap(err, "write the log")
}
