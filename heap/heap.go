// Package heap bounds the memory that a small process lets its heap grow by
// between two collections.
//
// The runtime bounds it by a share of what is in use: a process with 2 MB in
// use then collects all the time, and one with 30 MB keeps as much again for
// nothing. A Keeper moves that share so that the room is about the same number
// of bytes at any load.
//
//	k := heap.New(heap.Config{Room: 8 << 20, Limit: 96 << 20})
//	group.Go(func() error { return k.Run(ctx) })
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// adjustInterval is the time between two looks at what is in use.
	adjustInterval = 2 * time.Second
	// minPercent and most bound the share, in percent of what is in use. The runtime collects no heap below 4 MB at 100 %,
	// and in proportion at more.
	minPercent = 25
	maxPercent = 100
	// minChange is the relative change from which the share is set anew, since to set it stops all tasks for a moment.
	minChange = 0.1
	// liveBytesMetric names the bytes that the last collection found in use.
	liveBytesMetric = "/gc/heap/live:bytes"
)

// Config bounds the heap.
type Config struct {
	// Headroom is how much the heap grows between two collections, in bytes.
	Headroom int64
	// MemoryLimit is the memory from which collections become more frequent, in bytes.
	MemoryLimit int64
}

// Tuner holds a process to a Config.
type Tuner struct {
	cfg     Config
	percent int
}

// New returns a Keeper and sets the limit.
func New(cfg Config) *Tuner {
	debug.SetMemoryLimit(cfg.MemoryLimit)
	t := &Tuner{cfg: cfg}
	t.setPercent(GCPercent(cfg.Headroom, 0))
	return t
}

// Run adapts the share until ctx ends.
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

// GCPercent returns the growth in percent that leaves room for a heap with used
// bytes in use.
func GCPercent(headroom, live int64) int {
	if live <= 0 {
		return maxPercent
	}
	return int(min(maxPercent, max(minPercent, 100*headroom/live)))
}
