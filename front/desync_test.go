package front_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// desyncCallers is the number of concurrent callers, each of which sends desyncRequests.
	desyncCallers  = 6
	desyncRequests = 100
	// maxStrayDelay is the longest time after which stray bytes are written.
	maxStrayDelay = 12 * time.Millisecond
)

// servedResponse is a response of a desyncServer.
type servedResponse struct {
	status int
	body   string
	signed bool
	raw    string
	// ends is set if the end of the connection ends the response.
	ends bool
}

// desyncServer sends complete and valid responses of all kinds. After one, it may write any bytes of
// another response, at once, late, or when the next response is due.
type desyncServer struct {
	g errgroup.Group
	// anyConn is set if the stray bytes may be those of a response on another connection.
	anyConn bool

	mu  sync.Mutex
	rng *rand.Rand
	// ran and served hold the runs of and the responses to each request.
	ran    map[string]int
	served map[string][]servedResponse
	// written holds the responses on each connection; those at nil were never requested.
	written map[net.Conn][]string
	writing map[net.Conn]*sync.Mutex
	strays  atomic.Int64
}

func newDesyncServer(seed uint64, anyConn bool) *desyncServer {
	s := &desyncServer{
		anyConn: anyConn, rng: rand.New(rand.NewPCG(seed, 2)), ran: map[string]int{}, served: map[string][]servedResponse{},
		written: map[net.Conn][]string{}, writing: map[net.Conn]*sync.Mutex{},
	}
	for n := range 40 {
		r, _ := s.choose(fmt.Sprintf("elsewhere-%d", n), "body of another request", false)
		s.written[nil] = append(s.written[nil], r.raw)
	}
	return s
}

func (s *desyncServer) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// choose returns a random response and whether the request runs. first is set if the response is the
// first on its connection.
func (s *desyncServer) choose(id, body string, first bool) (r servedResponse, runs bool) {
	fields := []string{"T-Load: 3,0,8"}
	if !first || s.intn(4) > 0 {
		fields = append(fields, "T-Request: "+id)
	}
	switch kind := s.intn(20); {
	case kind < 8:
		r.status = []int{503, 429}[s.intn(2)]
		fields = append(fields, "T-Not-Run: 1")
	case kind == 8:
		r.status = 421
		if s.intn(2) == 0 {
			fields = append(fields, "T-Not-Run: 1")
		}
	default:
		runs = true
		r.status = []int{200, 201, 200, 200, 500, 504, 404}[s.intn(7)]
		r.signed = true
		// Only a refusal may omit the ID.
		fields = []string{"T-Load: 3,0,8", "T-Request: " + id, "T-Signature: s"}
	}
	r.body = strings.Repeat(body+" ", s.intn(4))
	s.encode(&r, fields)
	return r, runs
}

// encode sets the raw form of a response.
func (s *desyncServer) encode(r *servedResponse, fields []string) {
	for range s.intn(3) {
		fields = append(fields, fmt.Sprintf("X-%d: %s", s.intn(1000), strings.Repeat("v", s.intn(80))))
	}
	raw := r.body
	switch framing := s.intn(5); {
	case framing == 0 && r.signed:
		fields = append(fields, "Connection: close")
		r.ends = true
	case framing == 1:
		fields = append(fields, "Transfer-Encoding: chunked")
		raw = s.chunks(r.body)
	default:
		fields = append(fields, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	s.mu.Lock()
	s.rng.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	s.mu.Unlock()
	eol := []string{"\r\n", "\r\n", "\r\n", "\n"}[s.intn(4)]
	head := fmt.Sprintf("HTTP/1.1 %d %s", r.status, []string{"", "OK", "Service Unavailable"}[s.intn(3)])
	interim := []string{"", "", "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nT-Not-Run: 1\r\n\r\n"}[s.intn(5)]
	r.raw = interim + strings.Join(append([]string{head}, fields...), eol) + eol + eol + raw
}

func (s *desyncServer) chunks(body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := 1 + s.intn(len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// stray returns any bytes of another response.
func (s *desyncServer) stray(w net.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.written[w]
	switch {
	case s.rng.IntN(3) == 0 || len(list) == 0:
		list = s.written[nil]
	case s.anyConn && s.rng.IntN(2) == 0:
		for _, other := range s.written {
			list = other
			break
		}
	}
	s.strays.Add(1)
	raw := list[s.rng.IntN(len(list))]
	begin, end := 0, len(raw)
	if s.rng.IntN(4) == 0 {
		begin = s.rng.IntN(len(raw))
	}
	switch s.rng.IntN(4) {
	case 0:
	case 1:
		// Most ends that mislead are within the header or just after it.
		if n := strings.Index(raw, "\n\r\n"); n > begin {
			end = begin + s.rng.IntN(n+4-begin)
		}
	case 2:
		if n := strings.Index(raw, "T-Not-Run: 1"); n > begin {
			end = n + len("T-Not-Run: 1") + s.rng.IntN(3)
		}
	default:
		end = begin + s.rng.IntN(len(raw)-begin+1)
	}
	return raw[begin:end]
}

// lock returns the lock for writing to a connection.
func (s *desyncServer) lock(w net.Conn) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing[w] == nil {
		s.writing[w] = new(sync.Mutex)
	}
	return s.writing[w]
}

// write writes in up to four pieces, and then closes the connection if ends is set.
func (s *desyncServer) write(w net.Conn, raw string, ends bool) {
	mu := s.lock(w)
	mu.Lock()
	defer mu.Unlock()
	for pieces := s.intn(4); pieces > 0 && len(raw) > 1; pieces-- {
		n := 1 + s.intn(len(raw)-1)
		_, _ = io.WriteString(w, raw[:n])
		raw = raw[n:]
		time.Sleep(time.Duration(s.intn(1000)) * time.Microsecond)
	}
	// The connection may be closed by now.
	_, _ = io.WriteString(w, raw)
	if ends {
		_ = w.Close()
	}
}

// respond chooses the response to a request.
func (s *desyncServer) respond(w net.Conn, id, body string) (r servedResponse, first bool) {
	s.mu.Lock()
	first = len(s.written[w]) == 0
	s.mu.Unlock()
	r, runs := s.choose(id, body, first)
	s.mu.Lock()
	defer s.mu.Unlock()
	if runs {
		s.ran[id]++
	}
	s.served[id] = append(s.served[id], r)
	return r, first
}

// record records a response on its connection, of which stray bytes may be a part from then on.
func (s *desyncServer) record(w net.Conn, r servedResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[w] = append(s.written[w], r.raw)
}

func (s *desyncServer) handle(w net.Conn, r *http.Request, body string) bool {
	resp, first := s.respond(w, r.Header.Get(testHeaders.RequestID), body)
	if !first && s.intn(3) == 0 {
		s.write(w, s.stray(w), false)
	}
	time.Sleep(time.Duration(s.intn(2000)) * time.Microsecond)
	s.record(w, resp)
	switch {
	case !resp.ends && s.intn(6) == 0:
		s.write(w, resp.raw+s.stray(w), false)
	case s.intn(5) == 0:
		s.write(w, resp.raw, resp.ends)
		delay := time.Duration(s.intn(int(maxStrayDelay)))
		s.g.Go(func() error {
			time.Sleep(delay)
			s.write(w, s.stray(w), false)
			return nil
		})
	default:
		s.write(w, resp.raw, resp.ends)
	}
	return true
}

// gave reports whether the server gave a response.
func (s *desyncServer) gave(id string, got result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.served[id] {
		if r.signed && r.status == got.status && r.body == got.body {
			return true
		}
	}
	return false
}

// check compares the result of a request with what the server did.
func (s *desyncServer) check(t *testing.T, id string, idempotent bool, got result) {
	s.mu.Lock()
	ran := s.ran[id]
	s.mu.Unlock()
	signed := got.header.Get(testHeaders.Signature) != ""
	switch got.status {
	case 408, 421, 429, 503:
		if ran > 0 {
			t.Errorf("request %s ran %d times and got status %d", id, ran, got.status)
		}
	}
	if got.err == nil && (signed || got.status/100 == 2) && !s.gave(id, got) {
		t.Errorf("request %s got the response %+v, which the server did not give", id, got)
	}
	if !idempotent && ran > 1 {
		t.Errorf("request %s ran %d times", id, ran)
	}
}

// Bytes of another response were taken for a response, or for a part of one.
func TestStrayBytesMisleadAboutARequest(t *testing.T) {
	for _, unsoundTime := range []time.Duration{0, time.Minute} {
		for _, anyConn := range []bool{false, true} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("unsound %s, any connection %t, seed %d", unsoundTime, anyConn, seed), func(t *testing.T) {
					t.Parallel()
					testStrays(t, newDesyncServer(seed, anyConn), unsoundTime)
				})
			}
		}
	}
}

func testStrays(t *testing.T, s *desyncServer, unsoundTime time.Duration) {
	pay, view := payRoute, viewRoute
	pay.Timeout, view.Timeout = 200*time.Millisecond, 200*time.Millisecond
	// The servers are closed before.
	t.Cleanup(func() { _ = s.g.Wait() })
	cl := newCluster(t, view, pay)
	cl.unsoundTime = unsoundTime
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(s.handle)
	var g errgroup.Group
	var mu sync.Mutex
	results := map[string]result{}
	sequence := int64(1)
	for caller := range desyncCallers {
		g.Go(func() error {
			for n := range desyncRequests {
				id := fmt.Sprintf("%s-c%d-%d", []string{"pay", "view"}[n%4/3], caller, n)
				kind, _, _ := strings.Cut(id, "-")
				got := []*instance{source, target}[n/4%2].request("POST", "/"+kind+"/x", id, "body of "+id)
				mu.Lock()
				results[id] = got
				// A response with status 421 ends the use of the server until its next heartbeat.
				sequence++
				target.heartbeat("plots", sequence, false)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	succeeded, strays := 0, int(s.strays.Load())
	for id, got := range results {
		idempotent := strings.HasPrefix(id, "view-")
		if idempotent && s.anyConn {
			// A refusal on a connection that never carried it may name the request.
			continue
		}
		s.check(t, id, idempotent, got)
		if got.err == nil && got.status/100 == 2 {
			succeeded++
		}
	}
	if succeeded < len(results)/10 || strays < len(results)/10 {
		t.Errorf("%d of %d requests succeeded beside %d stray bytes", succeeded, len(results), strays)
	}
}
