package route

import (
	"cmp"
	"slices"
	"time"

	"sycamorespread.dev/action"
)

// reportedLevel is a level that a target reported, and when.
type reportedLevel struct {
	level action.Level
	at    time.Time
}

// admittingCandidates returns the candidates that admit the request, or none if
// the level of the service sheds it. A candidate whose last reported level is
// older than levelHold is assumed to have the level of the service; one that
// never responded admits all calls.
func admittingCandidates(list []*candidate, req Request, now time.Time) []*candidate {
	common, known := serviceLevel(list, req.Method, now)
	if known && !common.Admits(req.Key) {
		return nil
	}
	admitting := make([]*candidate, 0, len(list))
	for _, c := range list {
		level := c.level(req.Method, now)
		if reported, ok := c.levels[req.Method]; ok && known && now.Sub(reported.at) > levelHold {
			level = common
		}
		if level.Admits(req.Key) {
			admitting = append(admitting, c)
		}
	}
	if len(admitting) == 0 && known {
		return []*candidate{leastStrict(list, req.Method, now)}
	}
	return admitting
}

// serviceLevel returns the level of a service for a method: the median of the
// latest reported levels. It returns false if none was reported within
// levelHold. The bottleneck is usually a downstream service that all candidates
// share, so the highest level is usually the oldest. If the highest were used,
// each hop of a call chain would add the age of a level to the time until a
// surge is detected, and the load would oscillate.
func serviceLevel(list []*candidate, method string, now time.Time) (action.Level, bool) {
	var recent [maxRecentLevels]reportedLevel
	n := 0
	for _, c := range list {
		reported, ok := c.levels[method]
		if !ok || now.Sub(reported.at) > levelHold {
			continue
		}
		n = insertLatest(&recent, n, reported)
	}
	if n == 0 {
		return 0, false
	}
	levels := recent[:n]
	slices.SortFunc(levels, func(a, b reportedLevel) int { return cmp.Compare(a.level, b.level) })
	return levels[n/2].level, true
}

// insertLatest inserts a level into the n latest ones, which are sorted from
// latest to oldest, and returns their new number.
func insertLatest(recent *[maxRecentLevels]reportedLevel, n int, reported reportedLevel) int {
	i := n
	for i > 0 && recent[i-1].at.Before(reported.at) {
		i--
	}
	if i == maxRecentLevels {
		return n
	}
	n = min(n+1, maxRecentLevels)
	copy(recent[i+1:n], recent[i:n-1])
	recent[i] = reported
	return n
}

// shedLevel returns the level by which the candidates shed a call, and the age
// of the latest reported one. The level is that of the service or, if that is
// unknown, the highest of the candidates.
func shedLevel(list []*candidate, method string, now time.Time) (action.Level, time.Duration) {
	var highest action.Level
	age := levelHold + levelDecay
	for _, c := range list {
		if reported, ok := c.levels[method]; ok {
			highest = max(highest, reported.level)
			age = min(age, now.Sub(reported.at))
		}
	}
	if common, known := serviceLevel(list, method, now); known {
		return common, age
	}
	return highest, age
}

// leastStrict returns the candidate with the highest level, which sheds the
// fewest calls.
func leastStrict(list []*candidate, method string, now time.Time) *candidate {
	best := list[0]
	for _, c := range list[1:] {
		if c.level(method, now) > best.level(method, now) {
			best = c
		}
	}
	return best
}

// level returns the last reported level for a method, raised by its age.
func (c *candidate) level(method string, now time.Time) action.Level {
	reported, ok := c.levels[method]
	if !ok {
		return action.AdmitAll
	}
	age := now.Sub(reported.at) - levelHold
	if age <= 0 {
		return reported.level
	}
	if age >= levelDecay {
		return action.AdmitAll
	}
	gap := float64(action.AdmitAll - reported.level)
	return reported.level + action.Level(gap*float64(age)/float64(levelDecay))
}

// Level returns the level of a service for a method, or AdmitAll if none was
// reported within levelHold. What the other candidates shed, those that are
// stopping take, as far as they admit it.
func (t *Table) Level(service, method string) action.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	var available, stopping []*candidate
	for _, c := range t.services[service] {
		if c.target.Stopping {
			stopping = append(stopping, c)
		} else {
			available = append(available, c)
		}
	}
	now := t.now()
	level, known := serviceLevel(available, method, now)
	spare, spareKnown := serviceLevel(stopping, method, now)
	switch {
	case len(available) == 0 && spareKnown:
		return spare
	case !known:
		return action.AdmitAll
	case spareKnown:
		return max(level, spare)
	}
	return level
}
