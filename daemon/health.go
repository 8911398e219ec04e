package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

const (
	// healthInterval is the time between two checks of the backend server.
	healthInterval = 500 * time.Millisecond
	// downHealthInterval is the time between two checks while it is down.
	downHealthInterval = 100 * time.Millisecond
	// healthTimeout bounds one check.
	healthTimeout = time.Second
	// crashTimeout bounds the time to find out whether it crashed, and crashPollInterval is the pause between questions.
	crashTimeout      = 500 * time.Millisecond
	crashPollInterval = 10 * time.Millisecond
	// crashWindow separates two crashes; lost answers closer together are one crash.
	crashWindow = 300 * time.Millisecond
)

// crashCounter numbers the crashes of the backend server.
type crashCounter struct {
	mu   sync.Mutex
	n    uint64
	last time.Time
}

// number returns the number of the crash that is seen at now.
func (c *crashCounter) number(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == 0 || now.Sub(c.last) > crashWindow {
		c.n++
	}
	c.last = now
	return c.n
}

// healthLoop watches whether the backend server can be reached. A backend
// server that answers slowly or says that it is unhealthy stays in service:
// only one that refuses connections is down.
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

// hasCrashed finds out whether the backend server is gone. While it dies it
// may still accept connections and break them off, so anything but a whole
// answer or a refused connection is asked again.
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
	d.log.WithField("down", down).Warn("backend server changed")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = down || !d.joined.Load() })
}

// handleRunError handles a run whose answer did not arrive. When the backend server
// refuses connections it has crashed, and all that was in flight is suspect.
// It returns the name of the crash, empty when there was none.
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
	return id
}

// quarantineChanged spreads an entry of the quarantine that changed.
func (d *Daemon) quarantineChanged(e *sycapb.PoisonEntry) {
	if d.node != nil {
		d.node.AnnouncePoison(e)
	}
	if d.quarantine.State(poison.Fingerprint(e.Fingerprint)) == poison.Quarantined {
		d.log.WithFields(logrus.Fields{"service": e.Service, "method": e.Method, "print": fmt.Sprintf("%x", e.Fingerprint)}).Warn("request quarantined")
	}
}
