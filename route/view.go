package route

import (
	"cmp"
	"slices"

	"sycamorespread.dev/sycapb"
)

// LevelRows returns the level, load and statistics of each target and method,
// sorted by service, instance and method.
func (t *Table) LevelRows() []*sycapb.LevelRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var rows []*sycapb.LevelRow
	for _, c := range t.byID {
		for method, reported := range c.levels {
			row := &sycapb.LevelRow{
				Id:      c.target.ID,
				Service: c.target.Service,
				Zone:    c.target.Zone,
				Method:  method,
				Level:   uint32(c.level(method, now)),
				AgeMs:   now.Sub(reported.at).Milliseconds(),
				Fill:    c.utilization(now),
				Silent:  c.unreachable,
				Avoided: now.Before(c.avoidUntil),
			}
			if stats := c.stats[method]; stats != nil {
				row.TookMs = stats.latency.Seconds() * 1000
				row.Failed = stats.failureRate
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *sycapb.LevelRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Id, b.Id), cmp.Compare(a.Method, b.Method))
	})
	return rows
}

// FreeRatio returns the share of the slots of a service that are known to be free: by what the targets
// that this daemon can reach reported within loadTTL.
func (t *Table) FreeRatio(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	slots, free := 0.0, 0.0
	for _, c := range t.services[service] {
		slots += float64(c.target.Slots)
		if !c.unreachable && now.Sub(c.loadAt) <= loadTTL {
			free += float64(c.target.Slots) * max(0, 1-c.utilization(now))
		}
	}
	return free / max(1, slots)
}
