package admit

import (
	"cmp"
	"slices"
	"time"

	"sycamorespread.dev/action"
)

// waiter is one call in the queue. It receives nil on decision if the call may run, else the reason
// why not.
type waiter struct {
	Call
	queueKey   action.Key
	seq        uint64
	enqueuedAt time.Time
	decision   chan error
}

// queue holds waiters ordered by queue key, the most important first, then by arrival.
type queue struct {
	items []*waiter
}

func compare(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.queueKey, b.queueKey), cmp.Compare(a.seq, b.seq))
}

func (q *queue) len() int {
	return len(q.items)
}

func (q *queue) push(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.items, w, compare)
	q.items = slices.Insert(q.items, i, w)
}

func (q *queue) popFirst() *waiter {
	w := q.items[0]
	q.items = slices.Delete(q.items, 0, 1)
	return w
}

func (q *queue) popLast() *waiter {
	i := len(q.items) - 1
	w := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	return w
}

// remove removes w and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	i, ok := slices.BinarySearchFunc(q.items, w, compare)
	if !ok {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}
