// Package admit decides which calls one backend server runs, and when.
//
// A Gate stands in front of one backend server. It holds a limit on the runs
// in flight, which follows the backend server's own refusals and its warm-up,
// and a short queue ordered by admission key: the class first, then the hash
// of the action. A call that does not fit pushes out the least important one
// that waits. A call that can no longer finish before its deadline is dropped
// before it runs.
//
// The Gate also computes a Level, the least important key that the backend
// server has capacity for. Daemons upstream learn it from every reply and
// shed there, before any work is spent. See control for how it moves.
//
//	g := admit.New(admit.Config{Slots: 60, Now: time.Now})
//	pass, err := g.Enter(ctx, admit.Call{ID: id, Key: key, Method: "get", Deadline: deadline})
//	if err != nil {
//		// *ShedError or *DeadlineError: the call did not run
//	}
//	defer pass.Leave(admit.Ran)
package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Mode selects how much a Gate controls.
type Mode int

const (
	// Full uses the ordered queue and the level.
	Full Mode = iota
	// Static uses a fixed limit and a first-come queue, and no level.
	Static
	// None admits everything at once.
	None
)

// String returns the name of the mode in the settings.
func (m Mode) String() string {
	return [...]string{"full", "static", "none"}[m]
}

// RunResult tells how a run ended, for the adaptive limit.
type RunResult int

const (
	// Completed is a run that the backend server carried out.
	Completed RunResult = iota
	// Rejected is a run that the backend server refused before doing anything, for want of room as far as is known.
	Rejected
	// RejectedWithCapacity is a run that the backend server refused though it said that it had room.
	RejectedWithCapacity
	// NoResponse is a run without an answer.
	NoResponse
)

const (
	// maxQueueTime is the queueing time that the length of the queue allows.
	maxQueueTime = 250 * time.Millisecond
	// minQueueLen is the smallest bound on the queue, in calls.
	minQueueLen = 8
	// runTimeWeight is the weight of one run in the mean run time.
	runTimeWeight = 0.05
	// minRunTimeRatio is the part of the method's mean run time that must remain before a deadline.
	minRunTimeRatio = 0.7
	// decreaseFactor is the factor on the limit at a refusal by the backend server.
	decreaseFactor = 0.9
	// keysPerClass is the number of keys of one class.
	keysPerClass = (action.MaxKey + 1) / (action.MaxRank + 1)
	// fullThreshold is the part of the limit from which a refusal counts as one for want of room.
	fullThreshold = 0.8
	// acceptWeight is the weight of one call in the part that the backend server takes, minAcceptRatio the least part used.
	acceptWeight   = 0.01
	minAcceptRatio = 0.1
	// minLimitRatio is the part of the slots below which refusals do not cut the limit: a backend server that has
	// less room than half of what it says is faulty.
	minLimitRatio = 0.5
	// coldLimitRatio is the part of the slots that a cold backend server starts with.
	coldLimitRatio = 0.2
)

// Config holds the settings of a Gate.
type Config struct {
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// WarmUp is the time over which a cold backend server ramps up to its slots.
	WarmUp time.Duration
	// Mode selects how much is controlled.
	Mode Mode
	// Now reads the clock.
	Now func() time.Time
}

// Call is one call that asks to run.
type Call struct {
	ID action.ID
	// Key is the importance of the call.
	Key action.Key
	// Nested tells that work was done for the call upstream, which a refusal would waste.
	// It waits ahead of the others of its class.
	Nested bool
	// Method tells which run time to expect.
	Method string
	// Deadline is when the answer must be there.
	Deadline time.Time
	// QueueTimeout is how long the call may wait at most before it is refused, 0 for until the deadline.
	QueueTimeout time.Duration
}

// queueKey returns the key by which a call waits: the class first, then what is
// invested in, then the hash.
func (c Call) queueKey() action.Key {
	class := c.Key / keysPerClass * keysPerClass
	offset := (c.Key - class) / 2
	if c.Nested {
		return class + offset
	}
	return class + keysPerClass/2 + offset
}

// Gate admits calls to one backend server. It is safe for concurrent use.
type Gate struct {
	cfg Config

	mu            sync.Mutex
	startedAt     time.Time
	adaptiveLimit float64
	inflight      int
	queue         queue
	seq           uint64
	lastAdmitted  [action.MaxRank + 1]uint64
	// meanRunTime is the mean over all calls, methods by method.
	meanRunTime time.Duration
	// acceptRatio is the part of the calls that the backend server takes; the others end at once and use no slot.
	acceptRatio  float64
	runTimes     map[string]time.Duration
	lastDecrease time.Time
	control      levelController
}

// New returns a Gate for a cold backend server.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, startedAt: cfg.Now(), adaptiveLimit: float64(cfg.Slots), acceptRatio: 1, runTimes: map[string]time.Duration{}, control: newLevelController()}
}

// ShedError reports a call that was refused for want of capacity. It did not
// run.
type ShedError struct {
	Key action.Key
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("shed at rank %d: the backend server is at its limit", e.Key.Rank())
}

// DeadlineError reports a call that could not finish before its deadline. It did
// not run.
type DeadlineError struct {
	Remaining time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("%s until the deadline is too short for a run", e.Remaining)
}

// Permit is the right to run one call. Leave must be called exactly once.
type Permit struct {
	gate      *Gate
	method    string
	started   time.Time
	queueTime time.Duration
}

// QueueTime returns how long the call was queued.
func (p *Permit) QueueTime() time.Duration {
	return p.queueTime
}

// Acquire waits until the call may run. It returns a *ShedError, a *DeadlineError
// or the error of ctx when the call must not run.
func (g *Gate) Acquire(ctx context.Context, c Call) (*Permit, error) {
	if g.cfg.Mode == None {
		return g.admitUnlimited(c), nil
	}
	w, err := g.enqueue(c)
	if err != nil {
		return nil, err
	}
	select {
	case v := <-w.decision:
		return g.newPermit(w, v)
	case <-ctx.Done():
	}
	if g.dequeue(w) {
		return nil, ctx.Err()
	}
	permit, err := g.newPermit(w, <-w.decision)
	if err != nil {
		return nil, err
	}
	permit.Release(NoResponse)
	return nil, ctx.Err()
}

func (g *Gate) admitUnlimited(c Call) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight++
	return &Permit{gate: g, method: c.Method, started: g.cfg.Now()}
}

func (g *Gate) newPermit(w *waiter, err error) (*Permit, error) {
	if err != nil {
		return nil, err
	}
	now := g.cfg.Now()
	return &Permit{gate: g, method: w.Method, started: now, queueTime: now.Sub(w.enqueuedAt)}, nil
}

func (g *Gate) enqueue(c Call) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.seq++
	w := &waiter{Call: c, seq: g.seq, enqueuedAt: now, decision: make(chan error, 1)}
	if g.cfg.Mode == Static {
		w.queueKey = action.Key(0)
	} else {
		w.queueKey = c.queueKey()
	}
	g.control.countArrival(c.Key)
	if late := g.checkDeadline(w, now); late != nil {
		return nil, late
	}
	g.queue.push(w)
	g.dispatch(now)
	if g.queue.len() > g.maxQueueLen() {
		g.shedChecked(g.queue.popLast())
	}
	return w, nil
}

// checkDeadline returns an error when w cannot finish before its deadline.
func (g *Gate) checkDeadline(w *waiter, now time.Time) error {
	remaining := w.Deadline.Sub(now)
	need := time.Duration(minRunTimeRatio * float64(g.runTimes[w.Method]))
	if g.cfg.Mode == Static {
		need = 0
	}
	if remaining <= need {
		return &DeadlineError{Remaining: remaining}
	}
	return nil
}

// shedChecked sheds w and checks that nothing less important is preferred to it.
func (g *Gate) shedChecked(w *waiter) {
	if g.cfg.Mode == Full {
		g.checkOrder(w)
	}
	g.shed(w)
}

// shed tells w that it is shed.
func (g *Gate) shed(w *waiter) {
	if g.control.level.Admits(w.Key) {
		// What was let in before the level fell says nothing of the level.
		g.control.shedAdmitted++
	}
	w.decision <- &ShedError{Key: w.Key}
}

// checkOrder asserts that no call of a less important class waits or was
// admitted after w arrived.
func (g *Gate) checkOrder(w *waiter) {
	rank := w.queueKey.Rank()
	for _, o := range g.queue.items {
		invar.Check(o.queueKey.Rank() <= rank, "order", w.ID, "shed at rank %d while rank %d waits", rank, o.queueKey.Rank())
	}
	for r := rank + 1; r <= action.MaxRank; r++ {
		invar.Check(g.lastAdmitted[r] < w.seq, "order", w.ID, "shed at rank %d, rank %d was admitted after it arrived", rank, r)
	}
}

// shedTimedOut sheds the calls that have waited for longer than they may. A caller
// that is refused early has time left to come back.
func (g *Gate) shedTimedOut(now time.Time) {
	var expired []*waiter
	for _, w := range g.queue.items {
		if w.QueueTimeout > 0 && now.Sub(w.enqueuedAt) > w.QueueTimeout {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		g.queue.remove(w)
		g.shed(w)
	}
}

// dispatch admits waiting calls while the limit allows.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len() > 0 && g.inflight < g.limit(now) {
		w := g.queue.popFirst()
		if late := g.checkDeadline(w, now); late != nil {
			w.decision <- late
			continue
		}
		g.seq++
		g.lastAdmitted[w.queueKey.Rank()] = g.seq
		g.inflight++
		w.decision <- nil
	}
}

func (g *Gate) dequeue(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.remove(w)
}

// Release ends the run and lets the next call in.
func (p *Permit) Release(res RunResult) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.inflight--
	invar.Check(g.inflight >= 0, "inflight", action.ID{}, "%d runs in flight", g.inflight)
	g.update(res, p, now)
	g.dispatch(now)
}

// update adapts the limit and the mean run time to one ended run.
func (g *Gate) update(res RunResult, p *Permit, now time.Time) {
	slots := float64(g.cfg.Slots)
	d := now.Sub(p.started)
	switch res {
	case Rejected, RejectedWithCapacity:
		g.acceptRatio -= acceptWeight * g.acceptRatio
	case Completed, NoResponse:
		g.acceptRatio += acceptWeight * (1 - g.acceptRatio)
	}
	switch res {
	case Rejected:
		// A backend server that refuses while it has room is faulty, not full. A limit that followed such refusals
		// would shut out what the server still takes.
		full := float64(g.inflight+1) >= fullThreshold*float64(g.limit(now))
		if full && now.Sub(g.lastDecrease) > g.meanRunTime {
			g.adaptiveLimit = max(1, minLimitRatio*slots, g.adaptiveLimit*decreaseFactor)
			g.lastDecrease = now
		}
	case Completed:
		g.adaptiveLimit = min(slots, g.adaptiveLimit+1/g.adaptiveLimit)
		g.meanRunTime = ewma(g.meanRunTime, d)
		g.runTimes[p.method] = ewma(g.runTimes[p.method], d)
	case RejectedWithCapacity, NoResponse:
	}
}

// ewma moves a mean run time by one run; 0 means that there was none.
func ewma(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(runTimeWeight*float64(d-old))
}

// limit returns the runs in flight that are allowed now.
func (g *Gate) limit(now time.Time) int {
	ramp := 1.0
	if up := now.Sub(g.startedAt); up < g.cfg.WarmUp {
		ramp = coldLimitRatio + (1-coldLimitRatio)*float64(up)/float64(g.cfg.WarmUp)
	}
	return max(1, int(g.adaptiveLimit*ramp))
}

// capacity returns the calls per second that the backend server can complete
// or refuse.
func (g *Gate) capacity(now time.Time) float64 {
	if g.meanRunTime <= 0 {
		return 0
	}
	return float64(g.limit(now)) / g.meanRunTime.Seconds() / max(minAcceptRatio, g.acceptRatio)
}

func (g *Gate) maxQueueLen() int {
	if g.cfg.Mode == Static {
		return g.cfg.Slots
	}
	n := int(g.capacity(g.cfg.Now()) * maxQueueTime.Seconds())
	return max(minQueueLen, min(n, 4*g.cfg.Slots))
}

// Reconfigure sets the slots of another backend server that stays cold for warmUp.
func (g *Gate) Reconfigure(slots int, warmUp time.Duration) {
	g.mu.Lock()
	g.cfg.Slots = slots
	g.cfg.WarmUp = warmUp
	g.mu.Unlock()
	g.Restart()
}

// Restart makes the Gate treat its backend server as cold.
func (g *Gate) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startedAt = g.cfg.Now()
	g.meanRunTime = 0
	g.acceptRatio = 1
	g.runTimes = map[string]time.Duration{}
	g.adaptiveLimit = float64(g.cfg.Slots)
}

// Stats is the state of a Gate at one moment.
type Stats struct {
	// Inflight, Queued and Limit count calls.
	Inflight, Queued, Limit int
}

// Stats returns the present state.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Inflight: g.inflight, Queued: g.queue.len(), Limit: g.limit(g.cfg.Now())}
}
