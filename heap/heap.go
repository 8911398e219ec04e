// Package heap bounds by how many bytes the heap of a small process grows
// between two garbage collections.
//
// The runtime bounds the growth by a percentage of the live heap (GOGC): a
// process with 2 MB of live heap then collects all the time, and one with
// 30 MB grows by as much again without any benefit. A Tuner adjusts the
// percentage so that the heap grows by about the same number of bytes at any
// load.
//
//	t := heap.New(heap.Config{Headroom: 8 << 20, MemoryLimit: 96 << 20})
//	group.Go(func() error { return t.Run(ctx) })
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// adjustInterval is the time between two adjustments of the GC percentage.
	adjustInterval = 2 * time.Second
	// minPercent and maxPercent bound the GC percentage. The runtime does not collect a heap of less than 4 MB at 100 %,
	// and this minimum grows in proportion to the percentage.
	minPercent = 25
	maxPercent = 100
	// minChange is the smallest relative change of the percentage that is applied, since debug.SetGCPercent stops all
	// goroutines for a moment.
	minChange = 0.1
	// liveBytesMetric is the runtime metric for the bytes that the last collection found live.
	liveBytesMetric = "/gc/heap/live:bytes"
)

// Config configures a Tuner.
type Config struct {
	// Headroom is by how many bytes the heap grows between two collections.
	Headroom int64
	// MemoryLimit is the soft limit, in bytes, above which the runtime collects more often.
	MemoryLimit int64
}

// Tuner adjusts the GC percentage of the process to the size of its live heap.
type Tuner struct {
	cfg     Config
	percent int
}

// New returns a Tuner, and sets the memory limit and an initial GC percentage.
func New(cfg Config) *Tuner {
	debug.SetMemoryLimit(cfg.MemoryLimit)
	t := &Tuner{cfg: cfg}
	t.setPercent(GCPercent(cfg.Headroom, 0))
	return t
}

// Run adjusts the GC percentage until ctx ends.
func (t *Tuner) Run(ctx context.Context) error {
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveBytesMetric}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindUint64 {
			t.setPercent(GCPercent(t.cfg.Headroom, int64(sample[0].Value.Uint64())))
		}
	}
}

func (t *Tuner) setPercent(percent int) {
	change := float64(percent-t.percent) / float64(max(1, t.percent))
	if change > -minChange && change < minChange {
		return
	}
	t.percent = percent
	debug.SetGCPercent(percent)
}

// GCPercent returns the GC percentage that lets a heap with live bytes in use
// grow by headroom bytes, within minPercent and maxPercent.
func GCPercent(headroom, live int64) int {
	if live <= 0 {
		return maxPercent
	}
	return int(min(maxPercent, max(minPercent, 100*headroom/live)))
}
