// Command standin runs one case of the review: it starts the daemons as separate
// processes and plays the platform's store, the backend servers and the clients.
//
//	standin CASE FOLDER
//
// It writes record.txt to the folder and exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machine is one instance: a daemon and the backend server beside it.
type machine struct {
	w                                                               *world
	id, zone, service                                               string
	app, peer, rpc, outbound, inbound, ready, control, metrics, log string
	file                                                            string
	peerRelay, frontRelay                                           string
	cmd                                                             *exec.Cmd
	done                                                            chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	dir, tmp string
	// ip is the loopback address of this run, used the addresses that were given out.
	ip       string
	used     map[string]bool
	trouble  bool
	start    time.Time
	mu       sync.Mutex
	out      *os.File
	store    *kvStore
	machines []*machine
	requests atomic.Int64
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// firstPort and lastPort bound the ports in use. They lie below those that the
// system gives to outgoing connections.
const firstPort, lastPort = 10000, 30000

// freeAddrs returns free addresses at the loopback address of this run, which
// keeps runs at the same time apart.
func (w *world) freeAddrs(n int) ([]string, error) {
	var list []string
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", w.ip, firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		// The same port has to be free for datagrams.
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		if !slices.Contains(list, addr) && !w.used[addr] {
			w.used[addr] = true
			list = append(list, addr)
		}
		if len(list) == n {
			return list, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// addMachine adds a machine, with its daemon not started yet.
func (w *world) addMachine(id, zone, service string) (*machine, error) {
	a, err := w.freeAddrs(8)
	if err != nil {
		return nil, err
	}
	m := &machine{w: w, id: id, zone: zone, service: service, app: a[0], peer: a[1], rpc: a[2], outbound: a[3], inbound: a[4], ready: a[5], control: a[6], metrics: a[7]}
	m.file = filepath.Join(w.tmp, id+".ini")
	m.log = filepath.Join(w.tmp, id+".log")
	w.machines = append(w.machines, m)
	return m, nil
}

// advertise returns the setting for an address at the relay, if there is one.
func advertise(addr string) string {
	if addr == "" {
		return ""
	}
	return "advertise = " + addr + "\n"
}

// settings returns the template deploy/sycd.ini, filled in for the machine.
func (m *machine) settings(first bool) string {
	return fmt.Sprintf(`[daemon]
id = %s
region = dk-east
zone = %s
first = %t
addr = %s
http = %s
%s[front]
outbound = %s
inbound = %s
ready = %s
control = %s
metrics = %s
grace = 6s
%s[platform]
addr = %s
[server]
service = %s
addr = %s
[policy]
delay_max = 2000ms
[control]
retry_ratio = 0.2
retry_slack = 49
`, m.id, m.zone, first, m.peer, m.rpc, advertise(m.peerRelay), m.outbound, m.inbound, m.ready, m.control, m.metrics, advertise(m.frontRelay), m.w.store.addr, m.service, m.app)
}

// startDaemon starts the daemon with the command of the deploy file.
func (m *machine) startDaemon(first bool) error {
	if err := os.WriteFile(m.file, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command("target/sycd", "run", m.file)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	cmd, done := m.cmd, m.done
	go func() {
		err := cmd.Wait()
		m.w.logf("daemon %s has ended: %v", m.id, err)
		close(done)
	}()
	m.w.logf("daemon %s service=%s zone=%s started", m.id, m.service, m.zone)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.w.logf("signal %s to daemon %s", s, m.id)
	_ = m.cmd.Process.Signal(s)
}

// restart stops the daemon as the platform does and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.done
	}
	time.Sleep(300 * time.Millisecond)
	return m.startDaemon(false)
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("the daemons did not become ready")
}

// route is one route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	TargetMs    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(version int, services []string, routes []route) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_check_path": "/health", "max_connections": 514, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.operatorPut("op/config", text)
	w.logf("configuration r%d acknowledged", version)
}

// answer is what a client saw.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	err    error
}

// nextID returns the ID of a new request.
func (w *world) nextID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+w.requests.Add(1))
}

// send sends one request of a client on a new connection.
func (w *world) send(m *machine, method, path, body string, timeout time.Duration) answer {
	a := answer{id: w.nextID()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "hulo84.example"
	req.Header.Set(hRequestID, a.id)
	req.Header.Set(hDeadline, fmt.Sprint(timeout.Milliseconds()))
	w.logf("sent request=%s to %s: %s %s", a.id, m.id, method, path)
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		a.err = err
		w.logf("answer request=%s: none, %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.signed, a.body, a.err = resp.StatusCode, resp.Header.Get(hSignature) != "", string(b), err
	w.logf("answer request=%s: status=%d signed=%t complete=%t retry_after=%q", a.id, a.status, a.signed, err == nil, resp.Header.Get("Retry-After"))
	return a
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	_ = w.out.Close()
}

type caseFunc func(w *world) (broken bool, err error)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		tmp = keep
	} else {
		defer os.RemoveAll(tmp)
	}
	w := &world{ip: fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(128), rand.IntN(256)), used: map[string]bool{}, dir: os.Args[2], tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), out: out}
	defer w.close()
	time.AfterFunc(115*time.Second, func() {
		w.logf("the case did not end in time")
		for _, m := range w.machines {
			if m.cmd != nil && m.cmd.Process != nil {
				_ = m.cmd.Process.Kill()
			}
		}
		os.Exit(2)
	})
	if w.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.logf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.logf("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
