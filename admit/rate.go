package admit

import (
	"math"
	"time"
)

const (
	// rateBurst is the time whose calls may be sent at once under a rate limit. It is twice the
	// interval at which waiting calls are admitted without an arrival or a completion.
	rateBurst = 2 * TickInterval
	// minRate is the lower bound of a rate limit, in calls per second. A backend server that takes
	// nothing still gets a call now and then, since only a response can end its limit.
	minRate = 0.5
)

// rateLimit is a token bucket for the rate that a backend server takes. The zero
// value has no limit.
type rateLimit struct {
	// perSecond is the rate, 0 for none.
	perSecond float64
	tokens    float64
	at        time.Time
}

// set changes the rate; the tokens are kept up to the new burst.
func (l *rateLimit) set(perSecond float64, now time.Time) {
	if l.perSecond == 0 {
		l.tokens, l.at = math.Inf(1), now
	}
	l.refill(now)
	l.perSecond = perSecond
	l.tokens = min(l.tokens, l.burst())
}

func (l *rateLimit) burst() float64 {
	return max(1, l.perSecond*rateBurst.Seconds())
}

func (l *rateLimit) refill(now time.Time) {
	l.tokens = min(l.burst(), l.tokens+l.perSecond*now.Sub(l.at).Seconds())
	l.at = now
}

// allows reports whether a call may be sent now.
func (l *rateLimit) allows(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take uses one token.
func (l *rateLimit) take() {
	if l.perSecond > 0 {
		l.tokens--
	}
}

// concurrency returns the mean number of calls in flight at the rate, or limit if
// that is lower.
func (l *rateLimit) concurrency(limit int, meanRunTime time.Duration) int {
	if l.perSecond == 0 || meanRunTime <= 0 {
		return limit
	}
	return max(1, min(limit, int(math.Ceil(l.perSecond*meanRunTime.Seconds()))))
}

// SetRateLimit limits the calls per second that the backend server gets. A rate
// below minRate counts as minRate.
func (g *Gate) SetRateLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.rate.set(max(minRate, perSecond), now)
	g.dispatch(now)
}

// EndRateLimit ends the limit of SetRateLimit.
func (g *Gate) EndRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate = rateLimit{}
	g.dispatch(g.cfg.Now())
}

// HasRate reports whether a rate limit is in force and leaves room for a call that would not have to
// wait.
func (g *Gate) HasRate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	return g.rate.perSecond > 0 && g.queue.len() == 0 && g.inflight < g.limit(now) && g.rate.allows(now)
}

// RateLimit returns the limit in calls per second, 0 for none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.perSecond
}
