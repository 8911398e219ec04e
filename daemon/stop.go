package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/sycapb"
)

const (
	// announceDelay is how long a stopping daemon waits before it announces its stop, so that the backend server stays
	// in regular use while callers are still directed to this daemon.
	announceDelay = 700 * time.Millisecond
	// lastCallTime is the time before the end of a stop from which the daemon takes no calls of other daemons, and no
	// downstream calls that may take until its end.
	lastCallTime = time.Second
	// lastResponseTime is the time before the end of a stop by which the deadline of a request that is still taken must
	// pass. The Fronts wait for a response until shortly after the deadline.
	lastResponseTime = 200 * time.Millisecond
)

// leaveFront stops the HTTP interface. First it goes on serving while callers are directed to other daemons. Then it
// rejects requests of callers, and waits for those in flight. All that time the backend server has its capacity, so the
// daemon runs calls of other daemons there. At last it rejects these too, and waits until nothing is in flight.
func (d *Daemon) leaveFront() {
	start := time.Now()
	cfg := d.stopConfig.Load()
	end := start.Add(cfg.StopTimeout)
	d.stopEnd.Store(&end)
	d.leaving.Store(true)
	d.log.WithField("inflight", d.front.Inflight()).Info("stopping")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	sleep(ctx, min(announceDelay, cfg.StopDelay))
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
	sleep(ctx, cfg.StopDelay-time.Since(start))
	d.closing.Store(true)
	for d.front.InflightOfCallers() > 0 && time.Until(end) > lastCallTime && sleep(ctx, drainPollInterval) {
	}
	d.refusing.Store(true)
	d.log.WithFields(logrus.Fields{"inflight": d.front.Inflight(), "ms": time.Since(start).Milliseconds()}).Info("rejecting calls of other daemons")
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Down = true })
	for d.front.Inflight() > 0 && sleep(ctx, drainPollInterval) {
	}
	d.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.State = sycapb.MemberState_MEMBER_STATE_LEFT })
	d.closeFront(ctx)
	d.log.WithFields(logrus.Fields{"inflight": d.front.Inflight(), "ms": time.Since(start).Milliseconds()}).Info("left")
}

// rejectsInbound reports whether a stopping daemon rejects a call of another daemon: one that it might not finish.
func (d *Daemon) rejectsInbound(deadline time.Time) bool {
	return d.refusing.Load() || d.closing.Load() && d.outlastsStop(deadline)
}

// rejectsNested reports whether a stopping daemon rejects a downstream call of its backend server.
func (d *Daemon) rejectsNested(deadline time.Time) bool {
	return d.closing.Load() && time.Until(*d.stopEnd.Load()) < lastCallTime && d.outlastsStop(deadline)
}

// outlastsStop reports whether a request may take longer than the stop of the daemon does at most.
func (d *Daemon) outlastsStop(deadline time.Time) bool {
	return deadline.Add(lastResponseTime).After(*d.stopEnd.Load())
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
