package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, each line with the seconds since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{f: f, start: time.Now()}, err
}

func (r *record) at() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", r.at().Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.f, line)
	if os.Getenv("LOUD") != "" {
		fmt.Println(line)
	}
}
