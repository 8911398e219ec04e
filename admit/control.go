package admit

import (
	"time"

	"sycamorespread.dev/action"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 50 * time.Millisecond

const (
	// bucketBits is the number of low bits of a key that its bucket ignores.
	bucketBits      = 10
	numBuckets      = (int(action.MaxKey) + 1) >> bucketBits
	numClasses      = int(action.MaxRank) + 1
	bucketsPerClass = numBuckets / numClasses
	// demandWeight is the weight of one tick in the demand of a class that is fully admitted.
	demandWeight = 0.08
	// fullWeightRatio is the admitted fraction of a class from which a sample of its demand has
	// full weight.
	fullWeightRatio = 0.1
	// demandDecay is the factor per tick on the demand of a class of which nothing is admitted.
	demandDecay = 0.995
	// capacityWeight is the weight of one tick in the mean capacity.
	capacityWeight = 0.1
	// bucketDelayTicks is the number of ticks until the demand of a newly admitted bucket is
	// measurable: the time for the level to reach the entries plus the time that an action takes
	// from its entry to its calls of a service deep in the call graph.
	bucketDelayTicks = 20
	// initialUtilization is the initial value of the target utilization; minUtilization and
	// maxUtilization are its bounds.
	initialUtilization = 0.97
	minUtilization     = 0.8
	maxUtilization     = 1.2
	// utilizationIncrease and utilizationDecrease are the steps of the target utilization in a tick
	// with idle slots and in a tick with a queue. The effect of a step shows after
	// bucketDelayTicks.
	utilizationIncrease = 0.002
	utilizationDecrease = 0.003
	// idleThreshold is the idle fraction of the limit above which there is capacity for more
	// demand.
	idleThreshold = 0.05
	// drainTime is the time in which a queue above its target length should drain to it.
	drainTime = 2 * time.Second
	// targetQueueTime is the queueing time that the level aims for. An action waits once for each
	// call of the service that it makes, up to eight times in known call graphs.
	targetQueueTime = 10 * time.Millisecond
	// idleWeight is the weight of one tick in the mean idle fraction.
	idleWeight = 0.15
)

// levelController computes the level. The hashes of actions are spread evenly
// over the keys of a class, so the arrivals at the admitted keys of a class
// give the demand of all its keys. The level is the highest key up to which
// that demand fits the capacity times the target utilization. The target
// utilization follows the queue and the idle slots slowly, because a change of
// the level takes effect only when the newly admitted actions have reached
// their calls of this service. A level that followed the queue alone would
// oscillate.
type levelController struct {
	level    action.Level
	arrivals [numBuckets]uint32
	// openTicks is the number of ticks for which each bucket has been admitted.
	openTicks [numBuckets]int
	// demand is the rate in calls per second that each class would have if it were fully admitted;
	// samples is the number of its measurements.
	demand  [numClasses]float64
	samples [numClasses]int
	// meanCapacity is the moving average of the capacity, in calls per second.
	meanCapacity float64
	// targetUtilization is the fraction of the capacity that the demand may use.
	targetUtilization float64
	shedAdmitted      int
	// meanIdle is the moving average of the idle fraction of the limit.
	meanIdle float64
}

func newLevelController() levelController {
	return levelController{level: action.AdmitAll, targetUtilization: initialUtilization}
}

func bucketOf(k action.Key) int {
	return int(k) >> bucketBits
}

// lastKey returns the last key of a bucket.
func lastKey(bucket int) action.Level {
	return action.Level((bucket+1)<<bucketBits - 1)
}

func (c *levelController) countArrival(k action.Key) {
	c.arrivals[bucketOf(k)]++
}

// updateDemand adds the arrivals of the last tick to the demand estimates. A newly admitted bucket
// does not count until its calls can have arrived.
func (c *levelController) updateDemand() {
	for class := range numClasses {
		calls, counted := uint32(0), 0
		for i := class * bucketsPerClass; i < (class+1)*bucketsPerClass; i++ {
			if lastKey(i) > c.level {
				c.openTicks[i] = 0
			} else {
				c.openTicks[i]++
			}
			if c.openTicks[i] > bucketDelayTicks || c.level >= action.AdmitAll {
				calls += c.arrivals[i]
				counted++
			}
			c.arrivals[i] = 0
		}
		c.updateClassDemand(class, float64(calls)/TickInterval.Seconds(), float64(counted)/float64(bucketsPerClass))
	}
}

// updateClassDemand updates the demand of a class with a rate in calls per second that was measured
// over a fraction of its keys.
func (c *levelController) updateClassDemand(class int, rate, ratio float64) {
	if ratio == 0 {
		c.demand[class] *= demandDecay
		return
	}
	c.samples[class]++
	weight := max(demandWeight, 1/float64(c.samples[class])) * min(1, ratio/fullWeightRatio)
	c.demand[class] += weight * (rate/ratio - c.demand[class])
}

// levelFor returns the level up to which the estimated demand, and the backlog queued at those
// keys, fit the capacity. Less important calls in the queue do not count against more important
// ones.
func (c *levelController) levelFor(capacity, target float64, q *queue) action.Level {
	var waiting [numBuckets]float64
	for _, w := range q.items {
		waiting[bucketOf(w.Key)]++
	}
	sum, backlog := 0.0, 0.0
	for i := range numBuckets {
		sum += c.demand[i/bucketsPerClass] / float64(bucketsPerClass)
		backlog += waiting[i]
		drain := max(0, backlog-target) / drainTime.Seconds()
		if sum+drain > capacity {
			return lastKey(max(0, i-1))
		}
	}
	return action.AdmitAll
}

// adjustUtilization moves the target utilization by one step.
func (c *levelController) adjustUtilization(queued, target float64) {
	switch {
	case queued > target:
		c.targetUtilization = max(minUtilization, c.targetUtilization-utilizationDecrease)
	case c.level >= action.AdmitAll:
		c.targetUtilization = max(initialUtilization, c.targetUtilization-utilizationDecrease)
	case c.meanIdle > idleThreshold:
		c.targetUtilization = min(maxUtilization, c.targetUtilization+utilizationIncrease*c.meanIdle/idleThreshold)
	}
}

// Tick updates the level from the arrivals, the queue and the idle slots of the last TickInterval.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Mode != Full {
		return
	}
	now := g.cfg.Now()
	g.dispatch(now)
	g.shedTimedOut(now)
	c := &g.control
	c.updateDemand()
	limit := float64(g.usableLimit(now))
	c.meanIdle += idleWeight * (max(0, 1-float64(g.inflight)/limit) - c.meanIdle)
	capacity := g.capacity(now)
	if capacity == 0 {
		// No run has ended yet, so the capacity is unknown.
		return
	}
	if c.meanCapacity == 0 {
		c.meanCapacity = capacity
	}
	c.meanCapacity += capacityWeight * (capacity - c.meanCapacity)
	target := max(2, c.meanCapacity*targetQueueTime.Seconds())
	queued := float64(g.queue.len())
	c.adjustUtilization(queued, target)
	c.level = c.nextLevel(queued, target, &g.queue)
	if c.shedAdmitted > 0 {
		g.shedBelowLevel()
	}
	c.shedAdmitted = 0
}

// nextLevel returns the level for the next tick. It falls only while calls are queued: the
// estimated demand alone is no reason while the backend server keeps up.
func (c *levelController) nextLevel(queued, target float64, q *queue) action.Level {
	level := c.levelFor(c.targetUtilization*c.meanCapacity, target, q)
	if level < c.level && queued <= target {
		return c.level
	}
	return level
}

// shedBelowLevel sheds the queued calls of classes below the class of the level.
func (g *Gate) shedBelowLevel() {
	rank := action.Key(g.control.level).Rank()
	for g.queue.len() > 0 {
		w := g.queue.popLast()
		if w.queueKey.Rank() <= rank {
			g.queue.push(w)
			return
		}
		g.shedChecked(w)
	}
}

// Level returns the current level, the least important key that is admitted.
func (g *Gate) Level() action.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.level
}
