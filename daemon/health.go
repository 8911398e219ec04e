package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

const (
	// healthInterval is the time between two health checks of the backend server.
	healthInterval = 500 * time.Millisecond
	// downHealthInterval is the time between two health checks while the backend server is down.
	downHealthInterval = 100 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
	// crashTimeout bounds the detection of a crash, and crashPollInterval is the delay between its health checks.
	crashTimeout      = 500 * time.Millisecond
	crashPollInterval = 10 * time.Millisecond
	// crashWindow is the minimum time between two crashes. Lost responses that are closer together count as one crash.
	crashWindow = 300 * time.Millisecond
)

// crashCounter numbers the crashes of the backend server.
type crashCounter struct {
	mu       sync.Mutex
	count    uint64
	lastSeen time.Time
}

// number returns the number of the crash that is detected at now.
func (c *crashCounter) number(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 || now.Sub(c.lastSeen) > crashWindow {
		c.count++
	}
	c.lastSeen = now
	return c.count
}

// healthLoop checks whether the backend server is reachable. A backend server
// that responds slowly or reports that it is unhealthy stays in service: only
// one that refuses connections is down.
func (d *Daemon) healthLoop(ctx context.Context) error {
	for {
		wait := healthInterval
		if d.serverDown.Load() {
			wait = downHealthInterval
		}
		if !sleep(ctx, wait) {
			return nil
		}
		d.setDown(d.refusesConnections(ctx))
	}
}

func (d *Daemon) refusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return isDialError(d.backend.Health(ctx))
}

// hasCrashed reports whether the backend server has crashed. A process that is
// terminating may still accept connections and reset them, so the check is
// repeated until there is a complete response or a refused connection.
func (d *Daemon) hasCrashed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	for {
		err := d.backend.Health(ctx)
		if err == nil || isDialError(err) {
			return err != nil
		}
		if !sleep(ctx, crashPollInterval) {
			return false
		}
	}
}

// setDown records and announces a change of the backend server's state.
func (d *Daemon) setDown(down bool) {
	if d.serverDown.Swap(down) == down {
		return
	}
	if !down {
		d.gate.Restart()
	}
	d.log.WithField("down", down).Warn("backend server state changed")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = down || !d.joined.Load() })
}

// handleRunError handles a run that got no response. If the backend server
// refuses connections afterwards it has crashed, and all requests that were in
// flight become suspects. It returns the ID of the crash, empty if the backend
// server has not crashed.
func (d *Daemon) handleRunError(r *run, err error) string {
	if isDialError(err) {
		d.setDown(true)
		return ""
	}
	if !d.hasCrashed() {
		return ""
	}
	d.setDown(true)
	id := fmt.Sprintf("%s@%d#%d", d.cfg.ID, d.incarnation, d.crashes.number(time.Now()))
	if !d.controlEnabled() {
		return ""
	}
	d.quarantine.RecordCrash(id, d.runs.requests())
	d.log.WithFields(logrus.Fields{"crash": id, "action": r.in.id, "err": err}).Warn("backend server crashed")
	return d.quarantine.RecordCrash(id, []poison.Request{r.suspect()})[0]
}

// quarantineChanged gossips a changed entry of the quarantine.
func (d *Daemon) quarantineChanged(e *sycapb.PoisonEntry) {
	if d.node != nil {
		d.node.AnnouncePoison(e)
	}
	state := d.quarantine.State(poison.Fingerprint(e.Fingerprint))
	if state == poison.Quarantined || state == poison.Isolated {
		d.log.WithFields(logrus.Fields{
			"service": e.Service, "method": e.Method, "print": fmt.Sprintf("%x", e.Fingerprint), "crashes": strings.Join(e.Crashes, ","),
		}).Warn("request " + state.String())
	}
}
