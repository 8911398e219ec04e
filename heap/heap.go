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
	// every is the time between two looks at what is in use.
	every = 2 * time.Second
	// least and most bound the share, in percent of what is in use. The runtime collects no heap below 4 MB at 100 %,
	// and in proportion at more.
	least = 25
	most  = 100
	// step is the relative change from which the share is set anew, since to set it stops all tasks for a moment.
	step = 0.1
	// live names the bytes that the last collection found in use.
	live = "/gc/heap/live:bytes"
)

// Config bounds the heap.
type Config struct {
	// Room is how much the heap grows between two collections, in bytes.
	Room int64
	// Limit is the memory from which collections become more frequent, in bytes.
	Limit int64
}

// Keeper holds a process to a Config.
type Keeper struct {
	cfg   Config
	share int
}

// New returns a Keeper and sets the limit.
func New(cfg Config) *Keeper {
	debug.SetMemoryLimit(cfg.Limit)
	k := &Keeper{cfg: cfg}
	k.set(Share(cfg.Room, 0))
	return k
}

// Run adapts the share until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(every)
	defer t.Stop()
	sample := []metrics.Sample{{Name: live}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindUint64 {
			k.set(Share(k.cfg.Room, int64(sample[0].Value.Uint64())))
		}
	}
}

func (k *Keeper) set(share int) {
	change := float64(share-k.share) / float64(max(1, k.share))
	if change > -step && change < step {
		return
	}
	k.share = share
	debug.SetGCPercent(share)
}

// Share returns the growth in percent that leaves room for a heap with used
// bytes in use.
func Share(room, used int64) int {
	if used <= 0 {
		return most
	}
	return int(min(most, max(least, 100*room/used)))
}
