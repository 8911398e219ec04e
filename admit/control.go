package admit

import (
	"time"

	"sycamorespread.dev/action"
)

// TickInterval is how often Tick must be called.
const TickInterval = 50 * time.Millisecond

const (
	// bucketBits is the part of a key that a bucket leaves out.
	bucketBits      = 10
	numBuckets      = (int(action.MaxKey) + 1) >> bucketBits
	numClasses      = int(action.MaxRank) + 1
	bucketsPerClass = numBuckets / numClasses
	// demandWeight is the weight of one tick in the demand of a class that is wholly admitted.
	demandWeight = 0.08
	// fullWeightRatio is the share of a class from which its demand is known as well as that of the whole class.
	fullWeightRatio = 0.1
	// demandDecay is what one tick leaves of the demand of a class of which nothing is admitted.
	demandDecay = 0.995
	// capacityWeight is the weight of one tick in the capacity.
	capacityWeight = 0.1
	// bucketDelayTicks is the number of ticks after which the demand of a bucket that was opened is at hand: the time that
	// an action takes from its entry to its calls of a deep service, and the way of the level to the entries.
	bucketDelayTicks = 20
	// initialUtilization is the part of the capacity that the demand may take at first; minUtilization and maxUtilization bound it.
	initialUtilization = 0.97
	minUtilization     = 0.8
	maxUtilization     = 1.2
	// utilizationIncrease and utilizationDecrease are the steps of that part in a tick with idle slots and in one with a queue. A step
	// shows after bucketDelayTicks.
	utilizationIncrease = 0.002
	utilizationDecrease = 0.003
	// idleThreshold is the idle part of the limit from which there is room for more.
	idleThreshold = 0.05
	// drainTime is how soon a queue above its target should be back at it.
	drainTime = 2 * time.Second
	// targetQueueTime is the queueing time that the level aims for; an action waits as
	// often as it calls the service, up to eight times in our users' graphs.
	targetQueueTime = 10 * time.Millisecond
	// idleWeight is the weight of one tick in the part that is idle.
	idleWeight = 0.15
)

// levelController computes the level. The hashes of actions are spread evenly over the
// keys of a class, so that the arrivals at the admitted keys of a class tell
// the demand of all its keys. The level is the key up to which that demand fits
// the capacity. The part of the capacity that is used so follows from what the
// queue and the idle slots show: slowly, since a change of the level shows only
// when the actions that it let in have reached their calls. A level that
// followed the queue alone would swing.
type levelController struct {
	level    action.Level
	arrivals [numBuckets]uint32
	// openTicks counts the ticks for which a bucket has been admitted.
	openTicks [numBuckets]int
	// demand is the calls a second of each class, were it admitted wholly; ticks counts its measurements.
	demand  [numClasses]float64
	samples [numClasses]int
	// meanCapacity is the mean of the capacity, in calls a second.
	meanCapacity float64
	// targetUtilization is the part of the capacity that the demand may take.
	targetUtilization float64
	shedAdmitted      int
	// meanIdle is the mean part of the limit that is not in use.
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

// updateDemand folds the arrivals of the last tick into the demand. A bucket that
// was opened a moment ago does not count until its calls can be here.
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

// updateClassDemand takes the calls a second at a part of a class.
func (c *levelController) updateClassDemand(class int, rate, ratio float64) {
	if ratio == 0 {
		c.demand[class] *= demandDecay
		return
	}
	c.samples[class]++
	weight := max(demandWeight, 1/float64(c.samples[class])) * min(1, ratio/fullWeightRatio)
	c.demand[class] += weight * (rate/ratio - c.demand[class])
}

// levelFor returns the level up to which the known demand, and the backlog that
// waits at those keys, stay within the capacity. Less important calls that
// wait do not count against more important ones.
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

// adjustUtilization moves the part of the capacity that the demand may take.
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

// Tick moves the level by what the last TickInterval showed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Mode != Full {
		return
	}
	now := g.cfg.Now()
	g.shedTimedOut(now)
	c := &g.control
	c.updateDemand()
	limit := float64(g.limit(now))
	c.meanIdle += idleWeight * (max(0, 1-float64(g.inflight)/limit) - c.meanIdle)
	capacity := g.capacity(now)
	if capacity == 0 {
		// Nothing has run yet, so that nothing is known of what fits.
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

// nextLevel returns the level for the next tick. It falls only when calls wait: the
// demand alone says nothing while the backend server keeps up with it.
func (c *levelController) nextLevel(queued, target float64, q *queue) action.Level {
	level := c.levelFor(c.targetUtilization*c.meanCapacity, target, q)
	if level < c.level && queued <= target {
		return c.level
	}
	return level
}

// shedBelowLevel sheds the waiting calls of classes below the class of the level.
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

// Level returns the least important key that has capacity now.
func (g *Gate) Level() action.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.level
}
