package admit

import (
	"time"

	"sycamorespread.dev/action"
)

// TickEvery is how often Tick must be called.
const TickEvery = 50 * time.Millisecond

const (
	// bucketBits is the part of a key that a bucket leaves out.
	bucketBits = 10
	numBuckets = (int(action.MaxKey) + 1) >> bucketBits
	numClasses = int(action.MaxRank) + 1
	perClass   = numBuckets / numClasses
	// demandWeight is the weight of one tick in the demand of a class that is wholly admitted.
	demandWeight = 0.08
	// wholeShare is the share of a class from which its demand is known as well as that of the whole class.
	wholeShare = 0.1
	// demandDecay is what one tick leaves of the demand of a class of which nothing is admitted.
	demandDecay = 0.995
	// capacityWeight is the weight of one tick in the capacity.
	capacityWeight = 0.1
	// settleTicks is the number of ticks after which the demand of a bucket that was opened is at hand: the time that
	// an action takes from its entry to its calls of a deep service, and the way of the level to the entries.
	settleTicks = 20
	// shareFirst is the part of the capacity that the demand may take at first; shareLeast and shareMost bound it.
	shareFirst = 0.97
	shareLeast = 0.8
	shareMost  = 1.2
	// shareUp and shareDown are the steps of that part in a tick with idle slots and in one with a queue. A step
	// shows after settleTicks.
	shareUp   = 0.002
	shareDown = 0.003
	// idleMost is the idle part of the limit from which there is room for more.
	idleMost = 0.05
	// drainTime is how soon a queue above its target should be back at it.
	drainTime = 2 * time.Second
	// waitTarget is the queueing time that the level aims for; an action waits as
	// often as it calls the service, up to eight times in our users' graphs.
	waitTarget = 10 * time.Millisecond
	// idleWeight is the weight of one tick in the part that is idle.
	idleWeight = 0.15
)

// control computes the level. The hashes of actions are spread evenly over the
// keys of a class, so that the arrivals at the admitted keys of a class tell
// the demand of all its keys. The level is the key up to which that demand fits
// the capacity. The part of the capacity that is used so follows from what the
// queue and the idle slots show: slowly, since a change of the level shows only
// when the actions that it let in have reached their calls. A level that
// followed the queue alone would swing.
type control struct {
	level action.Level
	seen  [numBuckets]uint32
	// opened counts the ticks for which a bucket has been admitted.
	opened [numBuckets]int
	// demand is the calls a second of each class, were it admitted wholly; ticks counts its measurements.
	demand [numClasses]float64
	ticks  [numClasses]int
	// capacity is the mean of the capacity, in calls a second.
	capacity float64
	// share is the part of the capacity that the demand may take.
	share   float64
	evicted int
	// idle is the mean part of the limit that is not in use.
	idle float64
}

func newControl() control {
	return control{level: action.Open, share: shareFirst}
}

func bucketOf(k action.Key) int {
	return int(k) >> bucketBits
}

// edge returns the last key of a bucket.
func edge(bucket int) action.Level {
	return action.Level((bucket+1)<<bucketBits - 1)
}

func (c *control) arrived(k action.Key) {
	c.seen[bucketOf(k)]++
}

// measure folds the arrivals of the last tick into the demand. A bucket that
// was opened a moment ago does not count until its calls can be here.
func (c *control) measure() {
	for class := range numClasses {
		calls, settled := uint32(0), 0
		for i := class * perClass; i < (class+1)*perClass; i++ {
			if edge(i) > c.level {
				c.opened[i] = 0
			} else {
				c.opened[i]++
			}
			if c.opened[i] > settleTicks || c.level >= action.Open {
				calls += c.seen[i]
				settled++
			}
			c.seen[i] = 0
		}
		c.learn(class, float64(calls)/TickEvery.Seconds(), float64(settled)/float64(perClass))
	}
}

// learn takes the calls a second at a part of a class.
func (c *control) learn(class int, rate, part float64) {
	if part == 0 {
		c.demand[class] *= demandDecay
		return
	}
	c.ticks[class]++
	weight := max(demandWeight, 1/float64(c.ticks[class])) * min(1, part/wholeShare)
	c.demand[class] += weight * (rate/part - c.demand[class])
}

// fit returns the level up to which the known demand, and the backlog that
// waits at those keys, stay within the capacity. Less important calls that
// wait do not count against more important ones.
func (c *control) fit(capacity, target float64, q *queue) action.Level {
	var waiting [numBuckets]float64
	for _, w := range q.items {
		waiting[bucketOf(w.Key)]++
	}
	sum, backlog := 0.0, 0.0
	for i := range numBuckets {
		sum += c.demand[i/perClass] / float64(perClass)
		backlog += waiting[i]
		drain := max(0, backlog-target) / drainTime.Seconds()
		if sum+drain > capacity {
			return edge(max(0, i-1))
		}
	}
	return action.Open
}

// trim moves the part of the capacity that the demand may take.
func (c *control) trim(queued, target float64) {
	switch {
	case queued > target:
		c.share = max(shareLeast, c.share-shareDown)
	case c.level >= action.Open:
		c.share = max(shareFirst, c.share-shareDown)
	case c.idle > idleMost:
		c.share = min(shareMost, c.share+shareUp*c.idle/idleMost)
	}
}

// Tick moves the level by what the last TickEvery showed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Mode != Full {
		return
	}
	now := g.cfg.Now()
	g.dropStale(now)
	c := &g.control
	c.measure()
	limit := float64(g.limit(now))
	c.idle += idleWeight * (max(0, 1-float64(g.inflight)/limit) - c.idle)
	capacity := g.capacity(now)
	if capacity == 0 {
		// Nothing has run yet, so that nothing is known of what fits.
		return
	}
	if c.capacity == 0 {
		c.capacity = capacity
	}
	c.capacity += capacityWeight * (capacity - c.capacity)
	target := max(2, c.capacity*waitTarget.Seconds())
	queued := float64(g.queue.len())
	c.trim(queued, target)
	c.level = c.next(queued, target, &g.queue)
	if c.evicted > 0 {
		g.flush()
	}
	c.evicted = 0
}

// next returns the level for the next tick. It falls only when calls wait: the
// demand alone says nothing while the backend server keeps up with it.
func (c *control) next(queued, target float64, q *queue) action.Level {
	level := c.fit(c.share*c.capacity, target, q)
	if level < c.level && queued <= target {
		return c.level
	}
	return level
}

// flush sheds the waiting calls of classes below the class of the level.
func (g *Gate) flush() {
	rank := action.Key(g.control.level).Rank()
	for g.queue.len() > 0 {
		w := g.queue.popWorst()
		if w.order.Rank() <= rank {
			g.queue.push(w)
			return
		}
		g.evict(w)
	}
}

// Level returns the least important key that has capacity now.
func (g *Gate) Level() action.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.level
}
