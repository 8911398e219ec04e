package main

import (
	"bufio"
	"bytes"
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
	headerID       = "X-Sycamorespread-Request-Id"
	headerDeadline = "X-Sycamorespread-Deadline-Ms"
	headerSign     = "X-Sycamorespread-Response-Signature"
	headerExpect   = "X-Sycamorespread-Expected-Instance"
	headerLoad     = "X-Sycamorespread-Instance-Load"
	headerNotRun   = "X-Sycamorespread-Not-Executed"
	headerCaller   = "X-Sycamorespread-Caller-Service"
	headerInstance = "X-Sycamorespread-Instance-Id"
	headerLeaving  = "Server-Leaving"
	heartbeat      = 1500 * time.Millisecond
)

// arrival is a request that reached a server.
type arrival struct {
	at                       float64
	server, service          string
	id, caller, method, path string
	ran                      bool
	body                     uint32
	bodyLen                  int
	leaving                  bool
}

// server is a stand-in for an application server.
type server struct {
	l                 *lab
	m                 *machine
	id, service, zone string
	born              int64
	slots             int
	// work is called for each request that runs; it returns the status and the body.
	work func(r *http.Request, body []byte) (int, []byte)
	// raw, if set, may take over a connection after the header of a request; it reports whether it did.
	raw func(c net.Conn, br *bufio.Reader, r *http.Request) bool

	seq     atomic.Int64
	leaving atomic.Bool
	running atomic.Int64
	quit    chan struct{}

	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]bool
	arrivals []arrival
}

func (l *lab) server(m *machine, id, service string) *server {
	return &server{
		l: l, m: m, id: id, service: service, zone: m.zone, born: time.Now().UnixMilli(), slots: 69, quit: make(chan struct{}), conns: map[net.Conn]bool{},
		work: func(*http.Request, []byte) (int, []byte) {
			time.Sleep(20 * time.Millisecond)
			return http.StatusOK, []byte("answer")
		},
	}
}

// listen starts to serve, without a heartbeat.
func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.l.addr(s.m.host, portApp))
	if err != nil {
		return err
	}
	s.ln = ln
	s.l.note("server %s of service %s starts on %s", s.id, s.service, s.m.name)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// beats sends heartbeats until the server ends.
func (s *server) beats() {
	go func() {
		for {
			s.beat()
			select {
			case <-s.quit:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// report returns the body of the next heartbeat.
func (s *server) report() []byte {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"address": s.l.addr(s.m.host, portApp), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.seq.Add(1), "cold_remaining_ms": 0},
	})
	return b
}

func (s *server) beat() int { return s.send("heartbeat", s.report()) }

// send makes a call to the control address of the machine and returns the status, 0 without an answer.
func (s *server) send(call string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(fmt.Sprintf("http://%s/instances/%s/%s", s.l.addr(s.m.host, portControl), s.id, call), "application/json", bytes.NewReader(body))
	status := 0
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	s.l.note("server %s sends %s %s: %d", s.id, call, body, status)
	return status
}

// deregister announces the end of the server, as those that never report draining do.
func (s *server) deregister() int {
	s.leaving.Store(true)
	b, _ := json.Marshal(map[string]any{"born": s.born})
	return s.send("deregister", b)
}

// end crashes the server: its connections are reset.
func (s *server) end() {
	close(s.quit)
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.l.note("server %s ended", s.id)
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			s.health(c)
			continue
		}
		if s.raw != nil && s.raw(c, br, r) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.l.note("server %s: request %s broken off after %d bytes of its body", s.id, r.Header.Get(headerID), len(body))
			return
		}
		if !s.answer(c, r, body) {
			return
		}
	}
}

func (s *server) head(status int, id string) *strings.Builder {
	b := &strings.Builder{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(b, "%s: %s\r\n", headerID, id)
	}
	fmt.Fprintf(b, "%s: %s\r\n%s: %d,0,%d\r\nKeep-Alive: timeout=10\r\n", headerInstance, s.id, headerLoad, s.running.Load(), s.slots)
	if s.leaving.Load() {
		b.WriteString(headerLeaving + ": 1\r\n")
	}
	return b
}

func (s *server) health(c net.Conn) {
	status := http.StatusOK
	if s.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	b := s.head(status, "")
	b.WriteString("Content-Length: 0\r\n\r\n")
	_, _ = io.WriteString(c, b.String())
}

// arrive records a request.
func (s *server) arrive(r *http.Request, body []byte, ran bool) {
	a := arrival{at: s.l.since(), server: s.id, service: s.service, id: r.Header.Get(headerID), caller: r.Header.Get(headerCaller), method: r.Method, path: r.URL.RequestURI(), ran: ran, body: crc32.ChecksumIEEE(body), bodyLen: len(body), leaving: s.leaving.Load()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	verb := "runs"
	if !ran {
		verb = "turns away"
	}
	s.l.note("server %s (%s) %s %s %s %s, caller service %s", s.id, s.service, verb, a.id, a.method, a.path, a.caller)
}

// all returns the requests that reached the server.
func (s *server) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(headerID)
	if want := r.Header.Get(headerExpect); want != "" && want != s.id {
		s.arrive(r, body, false)
		b := s.head(http.StatusMisdirectedRequest, id)
		b.WriteString("Content-Length: 0\r\n\r\n")
		_, err := io.WriteString(c, b.String())
		return err == nil
	}
	s.arrive(r, body, true)
	s.running.Add(1)
	status, answer := s.work(r, body)
	s.running.Add(-1)
	if status == 0 {
		return false
	}
	b := s.head(status, id)
	fmt.Fprintf(b, "%s: 3e1b.07.5a2.%d.0.%08x\r\nContent-Length: %d\r\n\r\n", headerSign, len(answer), crc32.ChecksumIEEE(answer), len(answer))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return false
	}
	_, err := c.Write(answer)
	return err == nil
}

// answered is what a client got.
type answered struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// request sends one request of a client on a machine, on a new connection, and reads the answer.
func (l *lab) request(m *machine, method, host, path string, deadline time.Duration, body []byte) (string, answered) {
	id := l.nextID()
	started := time.Now()
	a := l.exchange(m, id, method, host, path, deadline, body)
	a.took = time.Since(started)
	l.note("client on %s: %s %s %s%s: status %d, %d bytes, %v, after %d ms", m.name, id, method, host, path, a.status, len(a.body), a.err, a.took.Milliseconds())
	return id, a
}

func (l *lab) exchange(m *machine, id, method, host, path string, deadline time.Duration, body []byte) answered {
	c, err := net.DialTimeout("tcp", l.addr(m.host, portOutbound), time.Second)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerID, id, headerDeadline, deadline.Milliseconds())
	if method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answered{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return answered{status: resp.StatusCode, header: resp.Header, body: got, err: err}
}
