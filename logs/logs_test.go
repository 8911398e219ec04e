package logs_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/logs"
)

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(&out, logs.Limits{MaxBuffered: 20, BytesPerSecond: 1 << 20})
	for range 5 {
		if n, err := w.Write([]byte("123456789\n")); n != 10 || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() != 3 {
		t.Errorf("%d lines dropped, want 3", w.Dropped())
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.HasPrefix(got, "123456789\n123456789\n") || !strings.Contains(got, "dropped=3 total=3") {
		t.Errorf("%q", got)
	}
	if _, _ = w.Write([]byte("next\n")); w.Flush() != nil || !strings.HasSuffix(out.String(), "next\n") {
		t.Errorf("%q", out.String())
	}
}

func TestRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(&out, logs.Limits{MaxBuffered: 1 << 20, BytesPerSecond: 100})
	for range 100 {
		_, _ = w.Write([]byte("123456789\n"))
	}
	if w.Dropped() < 75 {
		t.Errorf("%d of 100 lines dropped at 100 bytes a second", w.Dropped())
	}
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestWriterNeverBlocks(t *testing.T) {
	b := blockedOutput{release: make(chan struct{})}
	w := logs.New(b, logs.Limits{MaxBuffered: 1000, BytesPerSecond: 1 << 30})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	t.Cleanup(func() {
		close(b.release)
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	time.AfterFunc(0, func() { done <- w.Run(ctx) })
	start := time.Now()
	for range 10_000 {
		_, _ = w.Write([]byte("123456789\n"))
		time.Sleep(time.Microsecond)
	}
	if took := time.Since(start); took > 5*time.Second || w.Dropped() == 0 {
		t.Errorf("10000 lines took %s, %d dropped", took, w.Dropped())
	}
}
