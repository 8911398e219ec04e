package front

import (
	"strings"

	"sycamorespread.dev/route"
)

// parentID returns the ID of the request whose run made the request with the
// given ID, empty when the ID does not say. Backend servers put the ID of the
// run before that of the call, with a dot between.
func parentID(id string) string {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return ""
	}
	return id[:i]
}

// inheritParent gives a call of the backend server the importance of the run that
// made it, and its deadline. A call whose run is not known is treated as a
// caller's.
func (f *Front) inheritParent(r *request) {
	run := f.runs.find(parentID(r.id))
	if run == nil {
		return
	}
	r.nested = true
	r.key = run.key
	r.retry = run.retry
	if run.deadline.Before(r.deadline) {
		r.deadline = run.deadline
	}
	f.dependencies.RecordCall(run.route.Name, route.Call{Service: r.service, Method: r.route.Name}, r.arrived)
}
