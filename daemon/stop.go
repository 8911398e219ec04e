package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/front"
	"sycamorespread.dev/sycapb"
)

const (
	// announceDelay is how long a stopping daemon waits before it announces its stop, so that the backend server stays
	// in regular use while callers are still directed to this daemon.
	announceDelay = 700 * time.Millisecond
	// lastCallTime is the time before the end of a stop from which the daemon takes no calls of other daemons, and no
	// downstream calls that may take until its end.
	lastCallTime = time.Second
	// lastRequestTime is the time before the end of a stop from which the daemon takes no requests of callers, also with a
	// longer StopDelay.
	lastRequestTime = 500 * time.Millisecond
	// turnInterval is the time in which the other daemons of a service learn that one of them takes no more calls: a few
	// rounds of gossip.
	turnInterval = 300 * time.Millisecond
)

// leaveFront stops the HTTP interface. First it goes on serving while callers are directed to other daemons. Then it
// rejects requests of callers, and waits for those in flight and for its turn. All that time the backend server has its
// capacity, so the daemon runs calls of other daemons there. At last it rejects these too, and waits until nothing is in
// flight.
func (d *Daemon) leaveFront() {
	start := time.Now()
	cfg := d.stopConfig.Load()
	end := start.Add(cfg.StopTimeout)
	d.stopEnd.Store(&end)
	d.leaving.Store(true)
	d.log.WithField("inflight", d.front.Inflight()).Info("stopping")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	t := turns{}
	delay := min(cfg.StopDelay, cfg.StopTimeout-lastRequestTime)
	sleep(ctx, min(announceDelay, delay))
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
	for left := delay - time.Since(start); left > 0 && sleep(ctx, min(left, announceDelay)); left = delay - time.Since(start) {
		d.watchTurns(t)
	}
	d.closing.Store(true)
	d.awaitTurn(ctx, t)
	d.refusing.Store(true)
	d.log.WithFields(logrus.Fields{"inflight": d.front.Inflight(), "ms": time.Since(start).Milliseconds()}).Info("rejecting calls of other daemons")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = true })
	for d.front.Inflight() > 0 && sleep(ctx, drainPollInterval) {
	}
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.State = sycapb.MemberState_MEMBER_STATE_LEFT })
	d.closeFront(ctx)
	d.log.WithFields(logrus.Fields{"inflight": d.front.Inflight(), "ms": time.Since(start).Milliseconds()}).Info("left")
}

// awaitTurn waits until no requests of callers are in flight and it is the turn of this daemon to end, but no longer than
// the calls that it takes meanwhile allow.
func (d *Daemon) awaitTurn(ctx context.Context, t turns) {
	// free is since when none of the others is away.
	free := time.Now()
	for time.Until(*d.stopEnd.Load()) > lastCallTime {
		away := d.watchTurns(t)
		if away {
			free = time.Now()
		}
		if !away && d.front.InflightOfCallers() == 0 && time.Since(free) >= d.turnDelay(t) || !sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// rejectsInbound reports whether a stopping daemon rejects a call of another daemon: one that it might not finish.
func (d *Daemon) rejectsInbound(deadline time.Time) bool {
	return d.refusing.Load() || d.closing.Load() && d.outlastsStop(deadline)
}

// rejectsNested reports whether a stopping daemon rejects a downstream call of its backend server.
func (d *Daemon) rejectsNested(deadline time.Time) bool {
	return d.closing.Load() && time.Until(*d.stopEnd.Load()) < lastCallTime && d.outlastsStop(deadline)
}

// stopEndsAt returns when the daemon ends at the latest, the zero time if it is not about to stop.
func (d *Daemon) stopEndsAt() time.Time {
	if end := d.stopEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// outlastsStop reports whether a request may take longer than the stop of the daemon does at most.
func (d *Daemon) outlastsStop(deadline time.Time) bool {
	return deadline.Add(front.ResponseMargin).After(*d.stopEnd.Load())
}

// turns is the set of the other stopping daemons of the service, until they are back. Daemons that stop
// at the same time take turns, so that the service lacks one server at a time.
type turns map[string]struct{}

// watchTurns updates the stopping daemons and reports whether one of them takes no calls at present.
func (d *Daemon) watchTurns(t turns) (away bool) {
	service := d.node.Self().Service
	d.node.ForEach(func(e *sycapb.MemberEntry, _ netip.AddrPort) {
		if e.Service != service || e.Region != d.cfg.Region {
			return
		}
		serves := e.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !e.Down
		switch _, known := t[e.Id]; {
		case serves && e.Leaving:
			t[e.Id] = struct{}{}
		case serves:
			delete(t, e.Id)
		case known:
			away = true
		}
	})
	return away
}

// turnDelay returns how long none of the stopping daemons must have been away for this one to stop. Of those that are
// yet to go, the one with the lowest ID goes first.
func (d *Daemon) turnDelay(t turns) time.Duration {
	ahead := 0
	for id := range t {
		if id < d.cfg.ID {
			ahead++
		}
	}
	return time.Duration(ahead) * turnInterval
}

// closeFront shuts down all HTTP servers gracefully: a request may have arrived
// after the last check for requests in flight, and gets its response first.
func (d *Daemon) closeFront(ctx context.Context) {
	var g errgroup.Group
	for _, s := range d.httpServers {
		g.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		d.log.WithFields(logrus.Fields{"err": err, "inflight": d.front.Inflight()}).Warn("shutdown timed out; aborting requests in flight")
	}
}
