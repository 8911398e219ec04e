package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var cases = map[string]caseFunc{
	"foreign": foreignHeartbeat,
	"missing": missingFields,
	"sameid":  sameIDCrashes,
	"rolls":   rollsAndPoison,
	"islands": killedWhileCut,
	"early":   earlyAnswer,
	"reset":   resetAnswer,
}

// deploy starts a small deployment: one machine of each given name with its
// backend server, and a configuration with an idempotent and a non-idempotent route for each service.
func (w *world) deploy(names []string, services, zones map[string]string, r *zoneRelay) (map[string]*backend, error) {
	servers := map[string]*backend{}
	var order []string
	seen := map[string]bool{}
	for _, name := range names {
		m, err := w.addMachine(name, zones[name], services[name])
		if err != nil {
			return nil, err
		}
		if r != nil {
			if err := r.add(m, w.ip[:len(w.ip)-1]+fmt.Sprint(10+len(w.machines))); err != nil {
				return nil, err
			}
		}
		servers[name] = &backend{w: w, m: m, service: services[name], slots: 20, work: 20 * time.Millisecond}
		if !seen[services[name]] {
			seen[services[name]] = true
			order = append(order, services[name])
		}
	}
	var routes []route
	for _, s := range order {
		routes = append(routes,
			route{Name: "r-" + s + "-get", Host: "hulo84.example", PathPrefix: "/" + s + "/get/", Kind: "idempotent", TimeoutMs: 1000, TargetMs: 500, Priority: 1, Service: s, MaxAttempts: 2},
			route{Name: "r-" + s + "-do", Host: "hulo84.example", PathPrefix: "/" + s + "/do/", Kind: "non_idempotent", TimeoutMs: 1200, TargetMs: 500, Priority: 0, Service: s, MaxAttempts: 2})
	}
	w.putConfig(7, order, routes)
	for _, m := range w.machines {
		if err := m.startDaemon(true); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	for i, m := range w.machines {
		if err := servers[m.id].start(fmt.Sprintf("i-%08x", 0x7f3a91c0+i)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	return servers, nil
}

// load sends requests to a path at a rate until the returned function is called.
func (w *world) load(m *machine, perSecond int, method, path, body string, onAnswer func(answer)) (stop func()) {
	end := make(chan struct{})
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-t.C:
			}
			g.Add(1)
			go func() {
				defer g.Done()
				a := w.send(m, method, path+fmt.Sprint(n), body, 5*time.Second)
				if onAnswer != nil {
					onAnswer(a)
				}
			}()
		}
	}()
	return func() {
		close(end)
		g.Wait()
	}
}

// foreignHeartbeat sends one heartbeat of another writer that names a service
// which no configuration names, and checks the calling service that the servers see.
func foreignHeartbeat(w *world) (bool, error) {
	names := []string{"web-1", "book-1", "book-2"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "book-1": "book", "book-2": "book"},
		map[string]string{"web-1": "dk-east-a", "book-1": "dk-east-b", "book-2": "dk-east-c"}, nil)
	if err != nil {
		return false, err
	}
	web := servers["web-1"]
	var right, wrong, served, own atomic.Int64
	check := func(_ *backend, r *http.Request) bool {
		// All requests of this case begin at web-1.
		if r.Header.Get(hCaller) == "web" {
			right.Add(1)
		} else {
			wrong.Add(1)
		}
		return false
	}
	for _, b := range servers {
		b.onRun = check
	}
	count := func(a answer) {
		if a.status == http.StatusOK && a.signed {
			served.Add(1)
		}
	}
	stopBook := w.load(web.m, 10, "GET", "/book/get/", "", count)
	stopWeb := w.load(web.m, 10, "GET", "/web/get/", "", func(a answer) {
		count(a)
		if a.status == http.StatusOK {
			own.Add(1)
		}
	})
	time.Sleep(8 * time.Second)
	w.logf("so far: calling service right %d, wrong %d, served %d", right.Load(), wrong.Load(), served.Load())
	if wrong.Load() > 0 || served.Load() == 0 {
		return false, fmt.Errorf("the deployment did not serve before the disruption")
	}
	if w.trouble {
		body := heartbeat(web.m.app, time.Now().UnixMilli(), "search", web.m.zone, 10, "ready", 1)
		status := web.m.postBeat("i-02d9e6b4", body)
		w.logf("heartbeat of another writer to %s: id=i-02d9e6b4 service=search, a service that no configuration names; status %d", web.m.id, status)
	}
	time.Sleep(20 * time.Second)
	stopBook()
	stopWeb()
	w.logf("at the end: calling service right %d, wrong %d, served %d, by the server of %s %d", right.Load(), wrong.Load(), served.Load(), web.m.id, own.Load())
	fmt.Printf("runs with the right calling service %d, with a wrong one %d, served %d, by the server of %s %d\n", right.Load(), wrong.Load(), served.Load(), web.m.id, own.Load())
	return wrong.Load() > 0, nil
}

// missingFields lets a server leave, sends a heartbeat of another writer that
// lacks fields, and counts the requests that reach the server after drain_ms.
func missingFields(w *world) (bool, error) {
	names := []string{"web-1", "book-1", "book-2"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "book-1": "book", "book-2": "book"},
		map[string]string{"web-1": "dk-east-a", "book-1": "dk-east-b", "book-2": "dk-east-c"}, nil)
	if err != nil {
		return false, err
	}
	leaving := servers["book-1"]
	leaving.work = 150 * time.Millisecond
	var ackedAt atomic.Int64
	var late atomic.Int64
	leaving.onRun = func(_ *backend, _ *http.Request) bool {
		if at := ackedAt.Load(); at > 0 && time.Now().UnixMilli()-at > drainTime.Milliseconds() {
			late.Add(1)
			w.logf("a request reaches the server %d ms after its leaving was acknowledged", time.Now().UnixMilli()-at)
		}
		return false
	}
	stop := w.load(servers["web-1"].m, 40, "GET", "/book/get/", "", nil)
	time.Sleep(8 * time.Second)
	if !leaving.drain() {
		return false, fmt.Errorf("the daemon did not acknowledge that the server leaves")
	}
	ackedAt.Store(time.Now().UnixMilli())
	time.Sleep(3 * time.Second)
	if w.trouble {
		body := heartbeat(leaving.m.app, time.Now().UnixMilli(), "book", "", 20, "ready", 1)
		info := body["info"].(map[string]any)
		delete(info, "zone")
		delete(info, "version")
		delete(body["status"].(map[string]any), "cold_remaining_ms")
		status := leaving.m.postBeat(leaving.id, body)
		w.logf("heartbeat of another writer to %s without zone, version and cold_remaining_ms; status %d", leaving.m.id, status)
	}
	time.Sleep(6 * time.Second)
	stop()
	fmt.Printf("%d requests reached the server more than %s after its leaving was acknowledged\n", late.Load(), drainTime)
	return late.Load() > 0, nil
}

// sameIDCrashes repeats a request that crashes its server, which comes back
// under the same ID.
func sameIDCrashes(w *world) (bool, error) {
	names := []string{"web-1", "web-2", "book-1"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "web-2": "web", "book-1": "book"},
		map[string]string{"web-1": "dk-east-a", "web-2": "dk-east-b", "book-1": "dk-east-c"}, nil)
	if err != nil {
		return false, err
	}
	book := servers["book-1"]
	p := &poisonRun{w: w}
	book.onRun = p.onRun(func(b *backend) {
		time.Sleep(2 * time.Second)
		if err := b.start(b.id); err != nil {
			w.logf("server did not start: %v", err)
		}
	})
	var lost atomic.Int64
	book.work = 100 * time.Millisecond
	stop := w.load(servers["web-1"].m, 20, "POST", "/book/do/", "order", func(a answer) {
		if a.status == http.StatusBadGateway || a.err != nil {
			lost.Add(1)
		}
	})
	for i := range 16 {
		w.send(servers[names[i%2]].m, "GET", "/book/get/poison", "", 5*time.Second)
		time.Sleep(4 * time.Second)
	}
	stop()
	w.logf("%d requests of other clients ended without the server's answer", lost.Load())
	fmt.Printf("%d requests of other clients ended without the server's answer\n", lost.Load())
	return p.verdict(), nil
}

// poisonRun counts the runs of a request that crashes its server.
type poisonRun struct {
	w       *world
	mu      sync.Mutex
	crashes int
	third   time.Time
	late    int
}

// onRun crashes the server at the request; back starts it again.
func (p *poisonRun) onRun(back func(*backend)) func(*backend, *http.Request) bool {
	return func(b *backend, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") || !p.w.trouble {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.crashes++
		p.w.logf("crash %d by request %s", p.crashes, r.Header.Get(hRequestID))
		switch {
		case p.crashes == 3:
			p.third = time.Now()
		case p.crashes > 3 && time.Since(p.third) > 3*time.Second:
			p.late++
		}
		go back(b)
		return true
	}
}

// verdict reports whether the request reached servers more than three times
// later than stability_window_ms after the third crash.
func (p *poisonRun) verdict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Printf("%d crashes, %d of them later than 3 s after the third\n", p.crashes, p.late)
	p.w.logf("%d crashes, %d of them later than 3 s after the third", p.crashes, p.late)
	return p.late > 3
}

// rollsAndPoison repeats a request that crashes its server between rolling
// restarts of the daemons.
func rollsAndPoison(w *world) (bool, error) {
	names := []string{"web-1", "book-1", "book-2"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "book-1": "book", "book-2": "book"},
		map[string]string{"web-1": "dk-east-a", "book-1": "dk-east-b", "book-2": "dk-east-c"}, nil)
	if err != nil {
		return false, err
	}
	p := &poisonRun{w: w}
	var next atomic.Int64
	back := func(b *backend) {
		time.Sleep(2 * time.Second)
		if err := b.start(fmt.Sprintf("i-%08x", 0x02d9e600+next.Add(1))); err != nil {
			w.logf("server did not start: %v", err)
		}
	}
	for _, b := range servers {
		b.onRun = p.onRun(back)
	}
	stop := w.load(servers["web-1"].m, 5, "GET", "/book/get/", "", nil)
	repeat := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Second) {
			w.send(servers["web-1"].m, "GET", "/book/get/poison", "", 5*time.Second)
		}
	}
	repeat(8 * time.Second)
	for range 4 {
		for _, name := range names {
			if err := servers[name].m.restart(); err != nil {
				return false, err
			}
			time.Sleep(500 * time.Millisecond)
		}
		// All machines are in touch before the request comes again.
		time.Sleep(3500 * time.Millisecond)
		repeat(6 * time.Second)
	}
	stop()
	return p.verdict(), nil
}

// killedWhileCut kills all daemons while one zone is partitioned from the
// others, and counts what is served later than recover_s after both have ended.
// TROUBLE=kill leaves out the cut only.
func killedWhileCut(w *world) (bool, error) {
	names := []string{"web-1", "web-2", "book-1", "book-2"}
	r := newRelay(w, "dk-east-a")
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "web-2": "web", "book-1": "book", "book-2": "book"},
		map[string]string{"web-1": "dk-east-a", "web-2": "dk-east-a", "book-1": "dk-east-b", "book-2": "dk-east-c"}, r)
	if err != nil {
		return false, err
	}
	var sent, served atomic.Int64
	count := func(a answer) {
		sent.Add(1)
		if a.status == http.StatusOK && a.signed {
			served.Add(1)
		}
	}
	stop1 := w.load(servers["web-1"].m, 5, "GET", "/book/get/", "", count)
	stop2 := w.load(servers["web-2"].m, 5, "GET", "/book/get/", "", count)
	time.Sleep(6 * time.Second)
	w.logf("before the fault: %d answered, %d served", sent.Load(), served.Load())
	if served.Load()*4 < sent.Load() || served.Load() == 0 {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	if w.trouble {
		if err := w.killAll(r); err != nil {
			return false, err
		}
	}
	// recover_s after all machines and links are back.
	time.Sleep(15 * time.Second)
	sent.Store(0)
	served.Store(0)
	time.Sleep(15 * time.Second)
	stop1()
	stop2()
	w.logf("later than recover_s: %d answered, %d served", sent.Load(), served.Load())
	fmt.Printf("later than recover_s: %d answered, %d served\n", sent.Load(), served.Load())
	return served.Load()*4 < sent.Load(), nil
}

// killAll cuts a zone off for 5.5 s and kills all daemons meanwhile.
func (w *world) killAll(r *zoneRelay) error {
	cut := os.Getenv("TROUBLE") != "kill"
	if cut {
		r.setCut("dk-east-a")
	}
	time.Sleep(time.Second)
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range w.machines {
		<-m.done
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range w.machines {
		if err := m.startDaemon(false); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	if cut {
		r.setCut("")
	}
	return nil
}
