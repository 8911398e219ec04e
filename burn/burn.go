// Package burn measures how fast each method consumes the error budget of its
// service-level objective.
//
// The entry of each action records whether the action got a complete response in
// time. A Recorder holds counts in a short and a long window. The burn rate is
// the ratio of bad actions divided by the ratio that the objective allows; at a
// rate of 1 the error budget lasts exactly for the period of the objective.
//
//	rec := burn.New(time.Now)
//	rec.Record(burn.Method{Service: "payments", Name: "pay", Class: "dues"}, 0.999, inTime)
//	rate := burn.Rate(good, bad, 0.999)
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sycamorespread.dev/sycapb"
)

const (
	// BucketInterval is the length of one bucket.
	BucketInterval = 10 * time.Second
	// Short is the length of the short window.
	Short = 5 * time.Minute
	// Long is the length of the long window.
	Long = time.Hour

	numBuckets   = int(Long / BucketInterval)
	shortBuckets = int(Short / BucketInterval)
)

// Method identifies a series of measurements.
type Method struct {
	Service, Name, Class string
}

type counts struct {
	good, bad uint64
}

type series struct {
	objective float64
	ring      [numBuckets]counts
}

// Recorder counts good and bad actions by method. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	now     func() time.Time
	bucket  int64
	methods map[Method]*series
}

// New returns a Recorder without counts.
func New(now func() time.Time) *Recorder {
	return &Recorder{now: now, methods: map[Method]*series{}}
}

// Record counts one action of a method with the given objective, from 0 to 1.
func (r *Recorder) Record(m Method, objective float64, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	s, ok := r.methods[m]
	if !ok {
		s = &series{}
		r.methods[m] = s
	}
	s.objective = objective
	c := &s.ring[r.bucket%int64(numBuckets)]
	if good {
		c.good++
		return
	}
	c.bad++
}

// advance clears the buckets that began since the last call.
func (r *Recorder) advance() {
	bucket := r.now().UnixNano() / int64(BucketInterval)
	elapsed := min(bucket-r.bucket, int64(numBuckets))
	for i := range elapsed {
		for _, s := range r.methods {
			s.ring[(bucket-i)%int64(numBuckets)] = counts{}
		}
	}
	r.bucket = bucket
}

// Rows returns the counts of all methods, sorted by service, method and class.
func (r *Recorder) Rows() []*sycapb.BurnRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	rows := make([]*sycapb.BurnRow, 0, len(r.methods))
	for m, s := range r.methods {
		rows = append(rows, r.row(m, s))
	}
	Sort(rows)
	return rows
}

func (r *Recorder) row(m Method, s *series) *sycapb.BurnRow {
	row := &sycapb.BurnRow{Service: m.Service, Method: m.Name, Class: m.Class, Objective: s.objective}
	for i := numBuckets - 1; i >= 0; i-- {
		c := s.ring[(r.bucket-int64(i)+int64(numBuckets))%int64(numBuckets)]
		row.GoodSeries = append(row.GoodSeries, c.good)
		row.BadSeries = append(row.BadSeries, c.bad)
		row.LongGood += c.good
		row.LongBad += c.bad
		if i < shortBuckets {
			row.ShortGood += c.good
			row.ShortBad += c.bad
		}
	}
	return row
}

// Rate returns the burn rate of a window: 0 without actions, and 1 if the ratio of bad actions is
// exactly what the objective allows.
func Rate(good, bad uint64, objective float64) float64 {
	if good+bad == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

// Merge returns the sums by method over the rows of several daemons.
func Merge(lists ...[]*sycapb.BurnRow) []*sycapb.BurnRow {
	sum := map[Method]*sycapb.BurnRow{}
	for _, list := range lists {
		for _, row := range list {
			m := Method{Service: row.Service, Name: row.Method, Class: row.Class}
			if sum[m] == nil {
				sum[m] = &sycapb.BurnRow{Service: m.Service, Method: m.Name, Class: m.Class}
			}
			add(sum[m], row)
		}
	}
	rows := make([]*sycapb.BurnRow, 0, len(sum))
	for _, row := range sum {
		rows = append(rows, row)
	}
	Sort(rows)
	return rows
}

func add(dst, row *sycapb.BurnRow) {
	dst.Objective = max(dst.Objective, row.Objective)
	dst.ShortGood += row.ShortGood
	dst.ShortBad += row.ShortBad
	dst.LongGood += row.LongGood
	dst.LongBad += row.LongBad
	dst.GoodSeries = addSeries(dst.GoodSeries, row.GoodSeries)
	dst.BadSeries = addSeries(dst.BadSeries, row.BadSeries)
}

func addSeries(dst, src []uint64) []uint64 {
	for len(dst) < len(src) {
		dst = append(dst, 0)
	}
	for i, n := range src {
		dst[i] += n
	}
	return dst
}

// Sort sorts rows by service, method and class.
func Sort(rows []*sycapb.BurnRow) {
	slices.SortFunc(rows, func(a, b *sycapb.BurnRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Class, b.Class))
	})
}
