// Package logs writes log lines without ever blocking the caller.
//
// Lines go into a bounded buffer, which Writer.Run flushes to the output in the
// background. Lines are dropped and counted if the buffer is full because the
// output is slow, or if they exceed the rate limit; the next flush reports the
// count in a line of its own.
//
//	w := logs.New(os.Stdout, logs.Limits{MaxBuffered: 1 << 20, BytesPerSecond: 256 << 10})
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

// Limits bounds the size of the buffer and the rate of the lines.
type Limits struct {
	// MaxBuffered is the maximum number of bytes that wait to be written.
	MaxBuffered int
	// BytesPerSecond is the sustained rate; a burst may be twice as many bytes.
	BytesPerSecond int
}

// Writer is an io.Writer that drops lines beyond its limits. It is safe for
// concurrent use.
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

// New returns a Writer that writes to out; Run or Flush moves the lines there.
func New(out io.Writer, l Limits) *Writer {
	return &Writer{out: out, maxBuffered: l.MaxBuffered, limiter: rate.NewLimiter(rate.Limit(l.BytesPerSecond), 2*l.BytesPerSecond)}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Write buffers one line or drops it. It never fails and never blocks.
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

// Run flushes the buffer every flushInterval until ctx ends, and once more then.
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

// Flush writes the buffered lines to the output, and the number of dropped lines
// if it has grown.
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
	return errors.Wrap(err, "write log lines")
}
