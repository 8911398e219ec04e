package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// exportBytes is the length of the answer to the fatal request; the server crashes after sentBytes of it.
	exportBytes = 1 << 20
	sentBytes   = 400 << 10
	// shortRatio divides both with TROUBLE=short.
	shortRatio = 8
	// exports is how often the client sends the fatal request.
	exports = 12
	// With TROUBLE=left a server crashes crashDelay after it began to run the request, whose client leaves after
	// leaveDelay.
	crashDelay = 700 * time.Millisecond
	leaveDelay = 300 * time.Millisecond
)

// streamCase sends a request that crashes each server that runs it, while the server sends a long answer. With
// TROUBLE=short the answer is a short one. With TROUBLE=left there is none, and the client has left before the crash.
func streamCase(l *lab, trouble bool) (int, error) {
	f, entries, err := l.newFleet()
	if err != nil {
		return exitNotRun, err
	}
	length, sent := exportBytes, sentBytes
	wait := 6 * time.Second
	switch os.Getenv("TROUBLE") {
	case "short":
		length, sent = length/shortRatio, sent/shortRatio
	case "left":
		wait = leaveDelay
	}
	f.before = func(w http.ResponseWriter, _ string) {
		if wait == leaveDelay {
			time.Sleep(crashDelay)
			return
		}
		w.Header().Set(headerSignature, "00000000")
		w.Header().Set("Content-Length", strconv.Itoa(length))
		// The client may have left.
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	load, stop := context.WithCancel(l.ctx)
	defer stop()
	holds := newTally()
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; load.Err() == nil; n++ {
			g.Go(func() {
				holds.add(sendRequest(l.ctx, l.rec, clientRequest{from: entries[n%len(entries)].outbound(), method: http.MethodPost, host: "hold.example", target: fmt.Sprintf("/hold/%d?work=1000", n), id: newID(), deadline: 4 * time.Second, body: []byte("slot")}), false)
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	for n := range exports {
		if trouble {
			ctx, cancel := context.WithTimeout(l.ctx, wait)
			sendRequest(ctx, l.rec, clientRequest{from: entries[n%len(entries)].outbound(), method: http.MethodGet, host: "view.example", target: fatalPath, id: newID(), deadline: 4 * time.Second})
			cancel()
		}
		time.Sleep(comesAgain)
	}
	stop()
	g.Wait()
	return f.verdict(holds), nil
}
