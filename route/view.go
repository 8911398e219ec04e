package route

import (
	"cmp"
	"slices"

	"sycamorespread.dev/sycapb"
)

// Views returns what the table knows, by service, instance and method.
func (t *Table) Views() []*sycapb.LevelRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var rows []*sycapb.LevelRow
	for _, s := range t.byID {
		for method, n := range s.levels {
			row := &sycapb.LevelRow{
				Id:      s.target.ID,
				Service: s.target.Service,
				Zone:    s.target.Zone,
				Method:  method,
				Level:   uint32(s.level(method, now)),
				AgeMs:   now.Sub(n.at).Milliseconds(),
				Fill:    s.fill(now),
				Silent:  s.silent,
				Avoided: now.Before(s.avoid),
			}
			if rec := s.runs[method]; rec != nil {
				row.TookMs = rec.took.Seconds() * 1000
				row.Failed = rec.failed
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *sycapb.LevelRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Id, b.Id), cmp.Compare(a.Method, b.Method))
	})
	return rows
}
