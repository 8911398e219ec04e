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
	// healthEvery is the time between two checks of the backend server.
	healthEvery = 500 * time.Millisecond
	// downEvery is the time between two checks while it is down.
	downEvery = 100 * time.Millisecond
	// healthWait bounds one check.
	healthWait = time.Second
	// crashWait bounds the time to find out whether it crashed, and crashPoll is the pause between questions.
	crashWait = 500 * time.Millisecond
	crashPoll = 10 * time.Millisecond
	// crashGap separates two crashes; lost answers closer together are one crash.
	crashGap = 300 * time.Millisecond
)

// crashes numbers the crashes of the backend server.
type crashes struct {
	mu   sync.Mutex
	n    uint64
	last time.Time
}

// number returns the number of the crash that is seen at now.
func (c *crashes) number(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == 0 || now.Sub(c.last) > crashGap {
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
		wait := healthEvery
		if d.down.Load() {
			wait = downEvery
		}
		if !sleep(ctx, wait) {
			return nil
		}
		d.setDown(d.refusesConnections(ctx))
	}
}

func (d *Daemon) refusesConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthWait)
	defer cancel()
	return isDial(d.backend.Health(ctx))
}

// hasCrashed finds out whether the backend server is gone. While it dies it
// may still accept connections and break them off, so anything but a whole
// answer or a refused connection is asked again.
func (d *Daemon) hasCrashed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashWait)
	defer cancel()
	for {
		err := d.backend.Health(ctx)
		if err == nil || isDial(err) {
			return err != nil
		}
		if !sleep(ctx, crashPoll) {
			return false
		}
	}
}

// setDown records and announces a change of the backend server's state.
func (d *Daemon) setDown(down bool) {
	if d.down.Swap(down) == down {
		return
	}
	if !down {
		d.gate.Restart()
	}
	d.log.WithField("down", down).Warn("backend server changed")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = down || !d.joined.Load() })
}

// lost handles a run whose answer did not arrive. When the backend server
// refuses connections it has crashed, and all that was in flight is suspect.
// It returns the name of the crash, empty when there was none.
func (d *Daemon) lost(r *run, err error) string {
	if isDial(err) {
		d.setDown(true)
		return ""
	}
	if !d.hasCrashed() {
		return ""
	}
	d.setDown(true)
	id := fmt.Sprintf("%s@%d#%d", d.cfg.ID, d.incarnation, d.crashes.number(time.Now()))
	if !d.full() {
		return ""
	}
	d.book.RecordCrash(id, d.runs.requests())
	d.log.WithFields(logrus.Fields{"crash": id, "action": r.a.id, "err": err}).Warn("backend server crashed")
	return id
}

// poisonChanged spreads an entry of the quarantine that changed.
func (d *Daemon) poisonChanged(e *sycapb.PoisonEntry) {
	if d.node != nil {
		d.node.AnnouncePoison(e)
	}
	if d.book.State(poison.Fingerprint(e.Fingerprint)) == poison.Quarantined {
		d.log.WithFields(logrus.Fields{"service": e.Service, "method": e.Method, "print": fmt.Sprintf("%x", e.Fingerprint)}).Warn("request quarantined")
	}
}
