// Command stand3 runs the scripted cases of the third review: a small deployment of the project's daemons with
// stand-ins for the store, the servers and the clients.
//
//	stand3 CASE FOLDER trouble    runs a case and writes record.txt in its folder
//	stand3 CASE FOLDER calm       does the same without the disruption
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases maps the name of a case to what it does. The result is the number of broken requests.
var cases = map[string]func(l *lab, trouble bool) (broken int, err error){
	"late-leave": lateLeave,
	"late-beat":  lateBeat,
	"departed":   departed,
	"at-once":    atOnce,
	"all-killed": allKilled,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "trouble" && os.Args[3] != "calm" {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER trouble|calm")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l, err := newLab(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	trouble := os.Args[3] == "trouble"
	time.AfterFunc(110*time.Second, func() {
		l.close()
		fmt.Fprintln(os.Stderr, "the case could not run: too slow")
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](l, trouble)
	if err != nil {
		l.note("the case could not run: %v", err)
	} else {
		l.note("result: %d requests broke the rule", broken)
	}
	l.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Printf("broken: %d requests\n", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

type object = map[string]any

// route returns a route of the operator's configuration.
func route(name, host, prefix, kind, service string) object {
	return object{"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000, "target_latency_ms": 1500, "priority": 1, "service": service, "max_attempts": 2}
}

// configure writes the configuration, with a route to each of three services.
func (l *lab) configure(version int) {
	var services []object
	for _, name := range []string{"statements", "payments", "waitlists", "plots"} {
		services = append(services, object{"name": name, "health_check_path": "/health", "max_connections": 514, "protocol": "h1", "tls": false})
	}
	routes := []object{
		route("r-st", "statements.example", "/st/", "idempotent", "statements"),
		route("r-pay", "payments.example", "/pay/", "non_idempotent", "payments"),
		route("r-wait", "waitlists.example", "/wait/", "idempotent", "waitlists"),
	}
	b, _ := json.Marshal(object{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	l.store.set("op/config", b)
	l.note("operator writes configuration r%d, %d bytes", version, len(b))
}

// deploy starts a daemon and a server on each of the first n hosts.
func (l *lab) deploy(services ...string) ([]*server, error) {
	l.configure(3)
	var servers []*server
	for i, service := range services {
		m := l.machine(i+1, fmt.Sprintf("dk-east-%c", 'a'+i%3), service)
		s := l.server(m, fmt.Sprintf("i-%08x", 0x7f3a0000+i), service)
		if err := s.listen(); err != nil {
			return nil, err
		}
		if err := m.run(true); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range servers {
		s.beats()
	}
	if !l.awaitReady(15 * time.Second) {
		return nil, fmt.Errorf("the daemons did not get ready")
	}
	time.Sleep(1500 * time.Millisecond)
	return servers, nil
}
