package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hRequestID = "X-Sycamorespread-Request-Id"
	hDeadline  = "X-Sycamorespread-Deadline-Ms"
	hSignature = "X-Sycamorespread-Response-Signature"
	hExpected  = "X-Sycamorespread-Expected-Instance"
	hCaller    = "X-Sycamorespread-Caller-Service"
	hNotRun    = "X-Sycamorespread-Not-Executed"
	hInstance  = "X-Sycamorespread-Instance-Id"
	hLoad      = "X-Sycamorespread-Instance-Load"

	heartbeatInterval = 1500 * time.Millisecond
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
)

// backend is a stand-in for a backend server. It sends heartbeats to the daemon
// of its machine while it runs.
type backend struct {
	w       *world
	m       *machine
	service string
	slots   int
	work    time.Duration
	// onRun is called when a request begins to run; if it returns true, the server crashes.
	onRun func(b *backend, r *http.Request) bool
	// raw, if set, reads a request and answers it.
	raw func(b *backend, rw http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	draining bool
	up       bool
	conns    map[net.Conn]bool
	listener net.Listener
	stop     chan struct{}
	running  atomic.Int64
}

// start starts a new incarnation under an ID.
func (b *backend) start(id string) error {
	var l net.Listener
	var err error
	// The address may be in use for a moment after a crash.
	for range 50 {
		if l, err = net.Listen("tcp", b.m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.id, b.born, b.sequence, b.draining, b.up = id, time.Now().UnixMilli(), 0, false, true
	b.listener, b.conns, b.stop = l, map[net.Conn]bool{}, make(chan struct{})
	stop := b.stop
	b.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second, ConnState: b.track}
	go func() { _ = srv.Serve(l) }()
	b.w.logf("server id=%s service=%s machine=%s started", id, b.service, b.m.id)
	go b.beat(stop)
	return nil
}

func (b *backend) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[c] = true
	case http.StateClosed:
		delete(b.conns, c)
	}
}

// crash ends the server: open connections are reset and new ones refused.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return
	}
	b.up = false
	close(b.stop)
	_ = b.listener.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.w.logf("server id=%s service=%s machine=%s crashed", b.id, b.service, b.m.id)
}

// drain announces the shutdown. It returns whether the daemon has acknowledged it.
func (b *backend) drain() bool {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	acked := b.sendBeat()
	b.w.logf("server id=%s service=%s machine=%s says it is draining, acknowledged=%t", b.id, b.service, b.m.id, acked)
	return acked
}

func (b *backend) beat(stop chan struct{}) {
	for {
		b.sendBeat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (b *backend) sendBeat() bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body := heartbeat(b.m.app, b.born, b.service, b.m.zone, b.slots, state, b.sequence)
	id, up := b.id, b.up
	b.mu.Unlock()
	return up && b.m.postBeat(id, body) == http.StatusOK
}

// heartbeat returns the fields of a heartbeat.
func heartbeat(addr string, born int64, service, zone string, slots int, state string, sequence int) map[string]any {
	return map[string]any{
		"address": addr, "born": born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": sequence, "cold_remaining_ms": 0},
	}
}

// postBeat sends a heartbeat to the daemon of the machine and returns the status, 0 without a response.
func (m *machine) postBeat(id string, body any) int {
	text, _ := json.Marshal(body)
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+m.control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, draining := b.id, b.draining
	b.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set(hLoad, fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots))
	if draining {
		w.Header().Set("Connection", "close")
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set(hInstance, id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	reqID := r.Header.Get(hRequestID)
	w.Header().Set(hRequestID, reqID)
	switch expected := r.Header.Get(hExpected); {
	case reqID == "":
		w.Header().Set(hNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != id:
		w.Header().Set(hInstance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b.running.Load() >= int64(b.slots):
		w.Header().Set(hNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	if b.raw != nil {
		b.raw(b, w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.w.logf("run request=%s server=%s service=%s machine=%s %s %s caller=%q", reqID, id, b.service, b.m.id, r.Method, r.RequestURI, r.Header.Get(hCaller))
	if b.onRun != nil && b.onRun(b, r) {
		b.crash()
		return
	}
	time.Sleep(b.work)
	out := fmt.Sprintf("answer of %s to %s, %d bytes received\n", id, reqID, len(body))
	w.Header().Set(hSignature, "sig."+reqID)
	w.Header().Set("Content-Length", fmt.Sprint(len(out)))
	_, _ = io.WriteString(w, out)
}
