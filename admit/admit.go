// Package admit implements admission control for one backend server: which
// calls it runs, and when.
//
// A Gate sits in front of one backend server. It holds an adaptive limit on the
// calls in flight, which follows the rejections and the warm-up of the server,
// and a short queue ordered by admission key: the class first, then the hash of
// the action. A call that exceeds the queue sheds the least important call in
// it. A call that can no longer finish before its deadline is dropped before it
// runs.
//
// The Gate also computes a Level, the least important key that the backend
// server has capacity for. Upstream daemons receive it with every reply and
// shed calls there, before any work is spent on them. See levelController for
// the algorithm.
//
//	g := admit.New(admit.Config{Slots: 60, Now: time.Now})
//	permit, err := g.Acquire(ctx, admit.Call{ID: id, Key: key, Method: "get", Deadline: deadline})
//	if err != nil {
//		// *ShedError or *DeadlineError: the call did not run
//	}
//	defer permit.Release(admit.Completed)
package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Mode selects which mechanisms of a Gate are active.
type Mode int

const (
	// Full uses the priority queue, the adaptive limit and the level.
	Full Mode = iota
	// Static uses the limit and a FIFO queue, without a level or an estimate of the run time.
	Static
	// None admits every call immediately.
	None
)

// String returns the name of the mode as used in the settings.
func (m Mode) String() string {
	return [...]string{"full", "static", "none"}[m]
}

// RunResult is how a run ended, as input to the adaptive limit.
type RunResult int

const (
	// Completed is a run that the backend server carried out.
	Completed RunResult = iota
	// Rejected is a run that the backend server rejected before doing any work, presumably at
	// capacity.
	Rejected
	// RejectedWithCapacity is a run that the backend server rejected although it reported free
	// capacity.
	RejectedWithCapacity
	// NoResponse is a run that ended without a response.
	NoResponse
)

const (
	// maxQueueTime is the queueing time that bounds the length of the queue.
	maxQueueTime = 250 * time.Millisecond
	// minQueueLen is the lower bound of the queue's capacity, in calls.
	minQueueLen = 8
	// runTimeWeight is the weight of one run in the moving average of the run time.
	runTimeWeight = 0.05
	// minRunTimeRatio is the fraction of the method's estimated run time that must remain before the
	// deadline.
	minRunTimeRatio = 0.7
	// decreaseFactor is the factor by which a rejection by the backend server decreases the limit.
	decreaseFactor = 0.9
	// keysPerClass is the number of keys in one class.
	keysPerClass = (action.MaxKey + 1) / (action.MaxRank + 1)
	// fullThreshold is the fraction of the limit in flight from which a rejection counts as one at
	// capacity.
	fullThreshold = 0.8
	// acceptWeight is the weight of one call in the accept ratio of the backend server;
	// minAcceptRatio is the lower bound of the ratio in the capacity estimate.
	acceptWeight   = 0.01
	minAcceptRatio = 0.1
	// minLimitRatio is the fraction of the slots below which rejections do not decrease the limit:
	// a backend server whose capacity is below half of what it reports is faulty.
	minLimitRatio = 0.5
	// coldLimitRatio is the fraction of the slots available to a cold backend server at the start
	// of its warm-up.
	coldLimitRatio = 0.2
)

// Config holds the settings of a Gate.
type Config struct {
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// WarmUp is the time over which the limit of a cold backend server ramps up to its slots.
	WarmUp time.Duration
	// Mode selects which mechanisms are active.
	Mode Mode
	// Now returns the current time.
	Now func() time.Time
}

// Call is one call that requests admission.
type Call struct {
	ID action.ID
	// Key is the importance of the call.
	Key action.Key
	// Nested reports whether upstream work was already done for the call, which shedding would
	// waste. Such a call is queued ahead of the others of its class.
	Nested bool
	// Method selects the run-time estimate.
	Method string
	// Deadline is when the response must be complete.
	Deadline time.Time
	// QueueTimeout is the longest time in the queue before the call is shed; 0 means until the
	// deadline.
	QueueTimeout time.Duration
}

// queueKey returns the key that orders the queue: the class first, then nested calls before others,
// then the hash.
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
	// meanRunTime is the moving average over the calls of all methods.
	meanRunTime time.Duration
	// acceptRatio is the fraction of calls that the backend server accepts; rejected calls end at
	// once and occupy no slot.
	acceptRatio  float64
	runTimes     map[string]*runEstimate
	lastDecrease time.Time
	control      levelController
	rate         rateLimit
}

// New returns a Gate for a cold backend server.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, startedAt: cfg.Now(), adaptiveLimit: float64(cfg.Slots), acceptRatio: 1, runTimes: map[string]*runEstimate{}, control: newLevelController()}
}

// ShedError reports a call that was shed for lack of capacity. It did not run.
type ShedError struct {
	Key action.Key
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("shed at rank %d: the backend server is at its limit", e.Key.Rank())
}

// DeadlineError reports a call that could not finish before its deadline. It did not run.
type DeadlineError struct {
	// Remaining is the time until the deadline, Required the time that must remain.
	Remaining, Required time.Duration
	// Runs is the number of runs from which Required was estimated, Age the time since the latest one.
	Runs int
	Age  time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("%s until the deadline is too short for a run", e.Remaining)
}

// Permit is the right to run one call. Release must be called exactly once.
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

// Acquire waits until the call may run. It returns a *ShedError, a *DeadlineError or the error of
// ctx if the call must not run.
func (g *Gate) Acquire(ctx context.Context, c Call) (*Permit, error) {
	if g.cfg.Mode == None {
		return g.admitUnlimited(c), nil
	}
	w, err := g.enqueue(c)
	if err != nil {
		return nil, err
	}
	select {
	case decision := <-w.decision:
		return g.newPermit(w, decision)
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
	if err := g.checkDeadline(w, now); err != nil {
		return nil, err
	}
	g.queue.push(w)
	g.dispatch(now)
	if g.queue.len() > g.maxQueueLen() {
		g.shedChecked(g.queue.popLast())
	}
	return w, nil
}

// checkDeadline returns a *DeadlineError if w cannot finish before its deadline.
func (g *Gate) checkDeadline(w *waiter, now time.Time) error {
	e := &DeadlineError{Remaining: w.Deadline.Sub(now)}
	if estimate := g.runTimes[w.Method]; estimate != nil && g.cfg.Mode != Static {
		e.Required, e.Runs, e.Age = estimate.estimate(now)
		e.Required = time.Duration(minRunTimeRatio * float64(e.Required))
	}
	if e.Remaining <= e.Required {
		return e
	}
	return nil
}

// shedChecked sheds w and asserts that no less important call is preferred to it.
func (g *Gate) shedChecked(w *waiter) {
	if g.cfg.Mode == Full {
		g.checkOrder(w)
	}
	g.shed(w)
}

// shed fails w with a *ShedError.
func (g *Gate) shed(w *waiter) {
	if g.control.level.Admits(w.Key) {
		// Calls that the current level would not admit were queued before it fell; shedding them
		// does not show that the level is too high.
		g.control.shedAdmitted++
	}
	w.decision <- &ShedError{Key: w.Key}
}

// checkOrder asserts that no call of a less important class is queued or was admitted after w
// arrived.
func (g *Gate) checkOrder(w *waiter) {
	rank := w.queueKey.Rank()
	for _, other := range g.queue.items {
		invar.Check(other.queueKey.Rank() <= rank, "order", w.ID, "shed at rank %d while rank %d waits", rank, other.queueKey.Rank())
	}
	for r := rank + 1; r <= action.MaxRank; r++ {
		invar.Check(g.lastAdmitted[r] < w.seq, "order", w.ID, "shed at rank %d, rank %d was admitted after it arrived", rank, r)
	}
}

// shedTimedOut sheds the calls that have exceeded their queue timeout. A caller that is refused
// early has time left to retry.
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

// dispatch admits queued calls while the limit allows it.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len() > 0 && g.inflight < g.limit(now) && g.rate.allows(now) {
		w := g.queue.popFirst()
		if err := g.checkDeadline(w, now); err != nil {
			w.decision <- err
			continue
		}
		g.seq++
		g.lastAdmitted[w.queueKey.Rank()] = g.seq
		g.inflight++
		g.rate.take()
		w.decision <- nil
	}
}

func (g *Gate) dequeue(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.remove(w)
}

// Release ends the run and admits the next queued call.
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

// update adapts the limit and the run-time estimates to the result of one run.
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
		// A backend server that rejects calls while it has capacity is faulty, not full. A limit
		// that followed such rejections would shed calls that the server still accepts.
		full := float64(g.inflight+1) >= fullThreshold*float64(g.limit(now))
		if full && now.Sub(g.lastDecrease) > g.meanRunTime {
			g.adaptiveLimit = max(1, minLimitRatio*slots, g.adaptiveLimit*decreaseFactor)
			g.lastDecrease = now
		}
	case Completed:
		g.adaptiveLimit = min(slots, g.adaptiveLimit+1/g.adaptiveLimit)
		g.meanRunTime = ewma(g.meanRunTime, d)
		if g.runTimes[p.method] == nil {
			g.runTimes[p.method] = &runEstimate{}
		}
		g.runTimes[p.method].add(d, now)
	case RejectedWithCapacity, NoResponse:
	}
}

// ewma returns the moving average old updated with d; an old of 0 means that there is no sample
// yet.
func ewma(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(runTimeWeight*float64(d-old))
}

// limit returns the number of calls that may be in flight at now.
func (g *Gate) limit(now time.Time) int {
	ramp := 1.0
	if uptime := now.Sub(g.startedAt); uptime < g.cfg.WarmUp {
		ramp = coldLimitRatio + (1-coldLimitRatio)*float64(uptime)/float64(g.cfg.WarmUp)
	}
	return max(1, int(g.adaptiveLimit*ramp))
}

// capacity returns the rate of calls per second that the backend server can complete or reject
// within its rate limit. Without a rate limit it is 0 before the first run.
func (g *Gate) capacity(now time.Time) float64 {
	if g.meanRunTime <= 0 {
		return g.rate.perSecond
	}
	capacity := float64(g.limit(now)) / g.meanRunTime.Seconds() / max(minAcceptRatio, g.acceptRatio)
	if g.rate.perSecond > 0 {
		return min(capacity, g.rate.perSecond)
	}
	return capacity
}

// usableLimit returns the number of calls that can be in flight at the limit and the rate limit.
func (g *Gate) usableLimit(now time.Time) int {
	return g.rate.concurrency(g.limit(now), g.meanRunTime)
}

func (g *Gate) maxQueueLen() int {
	if g.cfg.Mode == Static {
		return g.cfg.Slots
	}
	n := int(g.capacity(g.cfg.Now()) * maxQueueTime.Seconds())
	return max(minQueueLen, min(n, 4*g.cfg.Slots))
}

// Reconfigure sets the slots of a replaced backend server, which stays cold for warmUp.
func (g *Gate) Reconfigure(slots int, warmUp time.Duration) {
	g.mu.Lock()
	g.cfg.Slots = slots
	g.cfg.WarmUp = warmUp
	g.mu.Unlock()
	g.Restart()
}

// Restart resets the Gate for a backend server that restarted and is cold.
func (g *Gate) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startedAt = g.cfg.Now()
	g.meanRunTime = 0
	g.acceptRatio = 1
	g.runTimes = map[string]*runEstimate{}
	g.adaptiveLimit = float64(g.cfg.Slots)
}

// Stats is a snapshot of a Gate.
type Stats struct {
	// Inflight, Queued and Limit are numbers of calls.
	Inflight, Queued, Limit int
}

// Stats returns the current state.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Inflight: g.inflight, Queued: g.queue.len(), Limit: g.usableLimit(g.cfg.Now())}
}
