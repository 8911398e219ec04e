package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Limits of the site file for garble: a share of the servers spoils a share of its answers for a time.
	garbleServers  = 0.6
	garbleShare    = 0.03
	garbleDuration = 5 * time.Second
	garblePause    = time.Second

	// pieceBytes is the size of one chunk of an upload.
	pieceBytes = 20_000
)

// garbler decides which answers of a server are spoiled: at most garbleShare of
// them, in periods of garbleDuration, and only those to uploads.
type garbler struct {
	w       *world
	started time.Time

	mu              sync.Mutex
	answers, spoilt int
}

// spoil counts an answer and reports whether it is one to be spoilt.
func (g *garbler) spoil(upload bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	phase := time.Since(g.started) % (garbleDuration + garblePause)
	if phase >= garbleDuration || !g.w.trouble {
		return false
	}
	g.answers++
	if !upload || float64(g.spoilt+1) > garbleShare*float64(g.answers) {
		return false
	}
	g.spoilt++
	return true
}

func (g *garbler) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d of %d answers of the faulty server were spoilt", g.spoilt, g.answers)
}

// pattern returns text in which each line has its number.
func pattern(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "line %06d of a long body\n", i)
	}
	return b.Bytes()[:n]
}

// uploads describes the traffic of the two cases with long bodies.
type uploads struct {
	w    *world
	m    *machine
	body []byte
	// pause is the time between two chunks.
	pause time.Duration
	// onAnswer is called for each upload.
	onAnswer func(status int, signed bool, body []byte, err error)
}

// run sends short requests and uploads at the given rates for a time.
func (u *uploads) run(short, long int, d time.Duration) {
	stop := u.w.load(u.m, short, "GET", "/book/get/", "", nil)
	var g sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(long))
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-t.C {
		g.Add(1)
		go func() {
			defer g.Done()
			u.onAnswer(u.send())
		}()
	}
	g.Wait()
	stop()
}

// send uploads the body in chunks on a new connection and reads the answer meanwhile.
func (u *uploads) send() (status int, signed bool, answer []byte, err error) {
	w, id := u.w, u.w.nextID()
	c, err := net.DialTimeout("tcp", u.m.outbound, time.Second)
	if err != nil {
		return 0, false, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	w.logf("sent request=%s to %s: POST /book/do/upload, %d bytes in chunks, sha256 %.8x", id, u.m.id, len(u.body), sha256.Sum256(u.body))
	go u.write(c, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		w.logf("answer request=%s: none, %v", id, err)
		return 0, false, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	signed = resp.Header.Get(hSignature) != ""
	w.logf("answer request=%s: status=%d signed=%t %d bytes, looks complete=%t", id, resp.StatusCode, signed, len(answer), err == nil)
	return resp.StatusCode, signed, answer, err
}

func (u *uploads) write(c net.Conn, id string) {
	fmt.Fprintf(c, "POST /book/do/upload HTTP/1.1\r\nHost: hulo84.example\r\n%s: %s\r\n%s: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", hRequestID, id, hDeadline)
	for rest := u.body; len(rest) > 0; {
		n := min(pieceBytes, len(rest))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		time.Sleep(u.pause)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// deployUploads starts the deployment of the two cases: callers at web-1, and two
// servers, one of which (a share of 0.5) is faulty.
func (w *world) deployUploads(handle func(b *backend, g *garbler, rw http.ResponseWriter, r *http.Request)) (*machine, *garbler, error) {
	names := []string{"web-1", "book-1", "book-2"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "book-1": "book", "book-2": "book"},
		map[string]string{"web-1": "dk-east-a", "book-1": "dk-east-b", "book-2": "dk-east-c"}, nil)
	if err != nil {
		return nil, nil, err
	}
	faulty := &garbler{w: w, started: time.Now()}
	sound := &garbler{w: &world{}}
	for name, g := range map[string]*garbler{"book-1": faulty, "book-2": sound} {
		servers[name].raw = func(b *backend, rw http.ResponseWriter, r *http.Request) { handle(b, g, rw, r) }
	}
	return servers["web-1"].m, faulty, nil
}

// answerWhole answers with a complete body and its length.
func answerWhole(rw http.ResponseWriter, body []byte) {
	rw.Header().Set(hSignature, fmt.Sprintf("sig.%x", sha256.Sum256(body)))
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}
