package front

import (
	"strings"

	"sycamorespread.dev/route"
)

// parentID returns the ID of the request during which a backend server made the downstream call with
// the given ID, empty if there is none. Backend servers form the ID of a downstream call from the ID
// of the running request, a dot and a suffix.
func parentID(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return ""
	}
	return id[:i]
}

// inheritParent gives a downstream call of the backend server the admission key and the deadline of
// the running request that made it. A call without a known parent is treated as a caller's request.
func (f *Front) inheritParent(r *request) {
	parent, ok := f.runs.find(parentID(r.id))
	if !ok {
		return
	}
	r.nested = true
	r.key = parent.request.key
	r.retry = parent.retry
	if parent.deadline.Before(r.deadline) {
		r.deadline = parent.deadline
	}
	f.dependencies.RecordCall(parent.request.route.Name, route.Call{Service: r.service, Method: r.route.Name}, r.arrived)
}
