package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Ports of each machine, the same on all of them.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portFirst    = 7620
	portLast     = 7635
	portMetrics  = 9464
	portStore    = 8309
)

// lab is a small deployment on loopback addresses: the store, and machines with a daemon and a server each.
type lab struct {
	root, dir string
	net       int
	store     *store
	start     time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	seq      int
}

// newLab opens the record of a case and starts the store. root is that of the repository.
func newLab(root, caseDir string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, dir: dir, start: time.Now(), record: f}
	if l.net, err = freeNet(); err != nil {
		return nil, err
	}
	l.store, err = newStore(l.addr(250, portStore))
	return l, err
}

// freeNet returns the third byte of a loopback network in which the ports are free.
func freeNet() (int, error) {
	first := os.Getpid() % 200
	for i := range 200 {
		n := 20 + (first+i)%200
		free := true
		for _, p := range []int{portInbound, portApp, portReady, portOutbound, portControl, portFirst, portLast, portMetrics} {
			for host := 1; host <= 14 && free; host++ {
				probe, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", n, host, p))
				if err != nil {
					free = false
					break
				}
				_ = probe.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network")
}

func (l *lab) ip(host int) string         { return fmt.Sprintf("127.77.%d.%d", l.net, host) }
func (l *lab) addr(host, port int) string { return fmt.Sprintf("%s:%d", l.ip(host), port) }
func (l *lab) since() float64             { return time.Since(l.start).Seconds() }
func (l *lab) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+l.seq)
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", l.since(), fmt.Sprintf(format, args...))
}

// close ends all processes that the lab started.
func (l *lab) close() {
	for _, m := range l.machines {
		m.kill()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

// machine is one machine with a daemon of the project.
type machine struct {
	l             *lab
	host          int
	name          string
	zone, service string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (l *lab) machine(host int, zone, service string) *machine {
	m := &machine{l: l, host: host, name: fmt.Sprintf("sidecar-%s-%d", zone, host), zone: zone, service: service}
	l.machines = append(l.machines, m)
	return m
}

var section = regexp.MustCompile(`(?m)^\{\{[#^/][^}]*\}\}\n`)

// settings fills in the project's template as the platform does.
func (m *machine) settings(first bool) (string, error) {
	b, err := os.ReadFile(filepath.Join(m.l.root, "deploy", "sycd.ini"))
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllString(string(b), "")
	at := func(port int) string { return m.l.addr(m.host, port) }
	for name, value := range map[string]string{
		"node_name": m.name, "region": "dk-east", "zone": m.zone, "bootstrap": fmt.Sprint(first), "ip": m.l.ip(m.host),
		"internal_port_range.0": fmt.Sprint(portFirst), "internal_port_range.1": fmt.Sprint(portLast),
		"listen_addrs.outbound": at(portOutbound), "listen_addrs.inbound": at(portInbound), "listen_addrs.ready": at(portReady), "listen_addrs.control": at(portControl),
		"bounds.grace_s": "6", "bounds.config_apply_ms": "2000", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "49",
		"platform.address": m.l.addr(250, portStore), "service": m.service, "app_addr": at(portApp),
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has a placeholder that this stand-in does not know:\n%s", text)
	}
	file := filepath.Join(m.l.dir, m.name+".ini")
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// run starts the daemon with the command of deploy/system.toml.
func (m *machine) run(first bool) error {
	file, err := m.settings(first)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.l.root, "target", "sycd"), "run", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.l.root, logFile, logFile
	cmd.Env = append(os.Environ(), "SYCAMORESPREAD_SETTINGS="+file)
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.l.note("daemon %s started", m.name)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		m.l.note("daemon %s ended: %v", m.name, err)
		close(done)
	}()
	return nil
}

// kill ends the daemon and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	m.l.note("SIGKILL to daemon %s", m.name)
	_ = cmd.Process.Kill()
	<-done
}

// ready asks the daemon once whether it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.l.addr(m.host, portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (l *lab) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, m := range l.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
