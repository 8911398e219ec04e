package admit

import (
	"time"

	"sycamorespread.dev/action"
)

// TickEvery is how often Tick must be called.
const TickEvery = 50 * time.Millisecond

const (
	// bucketBits is the part of a key that a bucket of the demand leaves out.
	bucketBits = 10
	numBuckets = (int(action.MaxKey) + 1) >> bucketBits
	// demandWeight is the weight of one tick in the demand of an admitted bucket. An action reaches a deep service up
	// to half a second after it was admitted, so that a shorter memory would follow the level rather than the demand.
	demandWeight = 0.08
	// demandDecay is what one tick leaves of the demand of a bucket that is shed upstream.
	demandDecay = 0.998
	// fitShare is the part of the capacity that the demand may take when the level falls.
	fitShare = 0.95
	// drainTime is how soon a queue above its target should be back at it.
	drainTime = time.Second
	// waitTarget is the queueing time that the level aims for; an action waits as
	// often as it calls the service, up to eight times in our users' graphs.
	waitTarget = 10 * time.Millisecond
	// raiseShare is the part of the capacity by which the level rises in a tick while most is in use;
	// idleShare is added to it, by the cube of the part that is idle.
	raiseShare = 0.003
	idleShare  = 0.5
	// idleWeight is the weight of one tick in the part that is idle.
	idleWeight = 0.15
	// evictedShare is the part of the capacity by which the level falls at least in a tick with a full queue.
	evictedShare = 0.02
)

// control moves the level. It keeps the demand seen in each bucket of keys.
// When the queue is above its target, the level falls to the key up to which
// the known demand fits the capacity. When there is room, the level rises
// slowly, and fast when much is idle; demand that is shed upstream is not seen
// here and is remembered as it was. The level opens soon after the demand is
// gone.
type control struct {
	level   action.Level
	seen    [numBuckets]uint32
	demand  [numBuckets]float64
	evicted int
	// idle is the mean part of the limit that is not in use.
	idle float64
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

// measure folds the arrivals of the last tick into the demand.
func (c *control) measure() {
	top := bucketOf(action.Key(c.level))
	for i := range c.demand {
		rate := float64(c.seen[i]) / TickEvery.Seconds()
		c.seen[i] = 0
		if i <= top {
			c.demand[i] += demandWeight * (rate - c.demand[i])
			continue
		}
		c.demand[i] *= demandDecay
	}
}

// fit returns the level up to which the known demand, and the backlog that
// waits at those keys, stay within the capacity. Less important calls that
// wait do not count against more important ones.
func (c *control) fit(capacity, target float64, q *queue) action.Level {
	sum, backlog := 0.0, 0.0
	next := 0
	for i, d := range c.demand {
		sum += d
		for next < q.len() && bucketOf(q.items[next].order) <= i {
			backlog++
			next++
		}
		drain := max(0, backlog-target) / drainTime.Seconds()
		if sum+drain > capacity {
			return edge(max(0, i-1))
		}
	}
	return action.Open
}

// lower returns the level that sheds rate calls a second more.
func (c *control) lower(rate float64) action.Level {
	sum := 0.0
	for i := bucketOf(action.Key(c.level)); i > 0; i-- {
		sum += c.demand[i]
		if sum >= rate {
			return edge(i - 1)
		}
	}
	return c.level
}

// raise returns the level with room for rate more calls a second.
func (c *control) raise(rate float64) action.Level {
	sum := 0.0
	for i := bucketOf(action.Key(c.level)) + 1; i < numBuckets; i++ {
		sum += c.demand[i]
		if sum > rate {
			return edge(i)
		}
	}
	return action.Open
}

// Tick moves the level by what the last TickEvery showed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Mode != Full {
		return
	}
	now := g.cfg.Now()
	c := &g.control
	c.measure()
	limit := float64(g.limit(now))
	c.idle += idleWeight * (max(0, 1-float64(g.inflight)/limit) - c.idle)
	capacity := g.capacity(now)
	if capacity == 0 {
		// Nothing has run yet, so that nothing is known of what fits.
		return
	}
	target := max(2, capacity*waitTarget.Seconds())
	over := float64(g.queue.len()) - target
	switch {
	case over > 0 || c.evicted > 0:
		c.level = min(c.level, c.fit(fitShare*capacity, target, &g.queue))
		if c.evicted > 0 {
			c.level = min(c.level, c.lower(evictedShare*capacity))
			g.flush()
		}
	case over < -target/2 && c.level < action.Open:
		c.level = c.raise(capacity * (raiseShare + c.idle*c.idle*c.idle*idleShare))
	}
	c.evicted = 0
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
