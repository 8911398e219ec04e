package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is one sidecar machine: a daemon, and the addresses of the server beside it.
type machine struct {
	lab           *lab
	name, ip      string
	service, zone string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// Ports are the same on all machines.
func (m *machine) port(n int) string { return fmt.Sprintf("%s:%d", m.ip, m.lab.port+n) }
func (m *machine) app() string       { return m.port(0) }
func (m *machine) inbound() string   { return m.port(1) }
func (m *machine) outbound() string  { return m.port(2) }
func (m *machine) ready() string     { return m.port(3) }
func (m *machine) control() string   { return m.port(4) }

// lab is a small deployment on loopback addresses.
type lab struct {
	rec      *record
	ctx      context.Context
	dir      string
	net      string
	port     int
	grace    int
	store    *kvStore
	storeAt  string
	machines []*machine
	settings func(m *machine) string
	first    bool
}

// newLab starts the platform's store. Daemons and servers are started one by one.
func newLab(ctx context.Context, rec *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, ctx: ctx, dir: dir, grace: 6, first: true}
	l.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	l.port = 12000 + 10*rand.IntN(1500)
	l.store = newStore()
	l.storeAt = fmt.Sprintf("%s.250:%d", l.net, l.port+9)
	lis, err := net.Listen("tcp", l.storeAt)
	if err != nil {
		return nil, err
	}
	l.store.serve(ctx, lis)
	return l, nil
}

func (l *lab) add(service, zone string) *machine {
	n := len(l.machines) + 1
	m := &machine{lab: l, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", l.net, n), service: service, zone: zone}
	l.machines = append(l.machines, m)
	return m
}

// ini returns the settings that the platform fills in from deploy/sycd.ini.
func (m *machine) ini() string {
	return fmt.Sprintf(`[daemon]
id = %s
region = dk-east
zone = %s
first = %t
addr = %s:%d
http = %s:%d

[front]
outbound = %s
inbound = %s
ready = %s
control = %s
metrics = %s:9464
grace = %ds

[platform]
addr = %s

[server]
service = %s
addr = %s

[policy]
delay_max = 2000ms

[control]
retry_ratio = 0.2
retry_slack = 49
`, m.name, m.zone, m.lab.first, m.ip, m.lab.port+5, m.ip, m.lab.port+6, m.outbound(), m.inbound(), m.ready(), m.control(), m.ip, m.lab.grace, m.lab.storeAt, m.service, m.app())
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	file := filepath.Join(m.lab.dir, m.name+".ini")
	if err := os.WriteFile(file, []byte(m.ini()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.lab.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	bin := os.Getenv("SYCD")
	if bin == "" {
		bin = "target/sycd"
	}
	m.cmd = exec.Command(bin, "run", file)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.lab.rec.add("daemon %s starts", m.name)
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		m.lab.rec.add("daemon %s ended: %v", m.name, err)
		_ = out.Close()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.lab.rec.add("signal %q to daemon %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// terminate stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(time.Duration(m.lab.grace) * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// awaitReady waits until the daemon says that it is ready.
func (m *machine) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		resp, err := plainClient.Get("http://" + m.ready() + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// close ends all daemons that still run.
func (l *lab) close() {
	for _, m := range l.machines {
		if m.cmd == nil {
			continue
		}
		select {
		case <-m.exited:
		default:
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

// routeConfig is a route of the operator's configuration.
type routeConfig struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       string `json:"kind"`
	TimeoutMs  int    `json:"timeout_ms"`
	TargetMs   int    `json:"target_latency_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"max_attempts"`
}

// configure writes the operator's configuration.
func (l *lab) configure(version int, services []string, routes []routeConfig) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_check_path": "/health", "max_connections": 514, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	l.store.put("op/config", b)
	l.rec.add("configuration r%d acknowledged", version)
}
