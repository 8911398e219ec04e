package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID        = "X-Sycamorespread-Request-Id"
	headerDeadline  = "X-Sycamorespread-Deadline-Ms"
	headerSignature = "X-Sycamorespread-Response-Signature"
	headerExpected  = "X-Sycamorespread-Expected-Instance"
	headerInstance  = "X-Sycamorespread-Instance-Id"
	headerLoad      = "X-Sycamorespread-Instance-Load"
	headerNotRun    = "X-Sycamorespread-Not-Executed"
	headerLeaving   = "Server-Leaving"
)

// backend is a stand-in of an application server. The query of a request says what the server does:
// work=MS, and for one call of its own call=PATH, callhost=HOST and callat=MS.
type backend struct {
	rec       *record
	m         *machine
	service   string
	id        string
	born      time.Time
	slots     int
	heartbeat time.Duration
	// handle, if set, handles requests in place of run; it returns false to leave a request to run.
	handle func(w http.ResponseWriter, r *http.Request) bool
	// body returns the body of the response to a request.
	body func(id string) []byte

	// calls are the calls that the server made, with their answers.
	calls []call

	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	ackedAt  atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	srv      *http.Server
	stop     context.CancelFunc
}

// call is a call of a server with its answer.
type call struct {
	clientRequest
	answer answer
}

// start listens and sends heartbeats until ctx ends or crash.
func (b *backend) start(ctx context.Context) error {
	l, err := net.Listen("tcp", b.m.app())
	if err != nil {
		return err
	}
	if b.body == nil {
		b.body = func(id string) []byte { return []byte("body of " + id + "\n") }
	}
	ctx, b.stop = context.WithCancel(ctx)
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	b.rec.add("server %s of %s starts at %s, born %d", b.id, b.service, b.m.app(), b.born.UnixMilli())
	go func() { _ = b.srv.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = b.srv.Close()
	}()
	go b.beats(ctx)
	return nil
}

// crash closes the listener and all connections at once.
func (b *backend) crash() {
	b.rec.add("server %s ends", b.id)
	b.stop()
	_ = b.srv.Close()
}

func (b *backend) beats(ctx context.Context) {
	for {
		state := "ready"
		if b.leaving.Load() {
			state = "draining"
		}
		status, err := b.beat(ctx, state)
		if state == "draining" && err == nil && status == http.StatusOK && b.ackedAt.CompareAndSwap(0, time.Now().UnixNano()) {
			b.rec.add("server %s: its leaving is acknowledged", b.id)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.heartbeat):
		}
	}
}

func (b *backend) beat(ctx context.Context, state string) (int, error) {
	body, _ := json.Marshal(map[string]any{
		"address": b.m.app(), "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.m.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence.Add(1), "cold_remaining_ms": 0},
	})
	return b.tell(ctx, "heartbeat", body)
}

// tell sends a message to the control address of the machine.
func (b *backend) tell(ctx context.Context, call string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.m.control()+"/instances/"+b.id+"/"+call, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := plainClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (b *backend) load() string {
	return fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	if id != "" {
		w.Header().Set(headerID, id)
	}
	w.Header().Set(headerInstance, b.id)
	w.Header().Set(headerLoad, b.load())
	if b.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/health":
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case id == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(headerExpected) != "" && r.Header.Get(headerExpected) != b.id:
		b.rec.add("server %s answers 421 to %s", b.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.handle != nil && b.handle(w, r) {
		return
	}
	b.run(w, r, id)
}

// run runs a request: it works for the time that the query says, with a call of its own if there is one.
func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	b.running.Add(1)
	defer b.running.Add(-1)
	in, _ := io.ReadAll(r.Body)
	b.rec.add("server %s (%s) runs %s: %s %s, %d bytes crc %08x, from service %s, deadline %s ms", b.id, b.service, id, r.Method, r.RequestURI, len(in), crc32.ChecksumIEEE(in), r.Header.Get("X-Sycamorespread-Caller-Service"), r.Header.Get(headerDeadline))
	q := r.URL.Query()
	work := time.Duration(atoi(q.Get("work"))) * time.Millisecond
	ctx := r.Context()
	if ms := atoi(r.Header.Get(headerDeadline)); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	begun := time.Now()
	if path := q.Get("call"); path != "" {
		if !pause(ctx, time.Duration(atoi(q.Get("callat")))*time.Millisecond) {
			b.rec.add("server %s drops %s", b.id, id)
			return
		}
		left := time.Duration(atoi(r.Header.Get(headerDeadline)))*time.Millisecond - time.Since(begun)
		c := clientRequest{from: b.m.outbound(), method: http.MethodGet, host: q.Get("callhost"), target: path, id: id + ".1", deadline: left}
		a := sendRequest(ctx, b.rec, c)
		b.mu.Lock()
		b.calls = append(b.calls, call{c, a})
		b.mu.Unlock()
		if a.status != http.StatusOK {
			b.rec.add("server %s fails %s: its call ended with %s", b.id, id, a)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	if !pause(ctx, work-time.Since(begun)) {
		b.rec.add("server %s drops %s: %v", b.id, id, ctx.Err())
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	out := b.body(id)
	w.Header().Set(headerSignature, fmt.Sprintf("%08x", crc32.ChecksumIEEE(out)))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(out)
	b.rec.add("server %s answers %s with 200", b.id, id)
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func atoi(s string) int {
	n, _ := strconv.Atoi(strings.TrimSpace(s))
	return n
}
