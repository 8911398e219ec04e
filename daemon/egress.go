package daemon

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"sycamorespread.dev/action"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/sycapb"
)

// Deeper takes a call of the backend server beside this daemon. It implements
// the schema's Egress service.
func (d *Daemon) Deeper(ctx context.Context, req *connect.Request[sycapb.DeeperCall]) (*connect.Response[sycapb.Reply], error) {
	defer d.begin()()
	return connect.NewResponse(d.deeper(ctx, req.Msg)), nil
}

func (d *Daemon) deeper(ctx context.Context, dc *sycapb.DeeperCall) *sycapb.Reply {
	c := &sycapb.Call{Service: dc.Service, Method: dc.Method, Body: dc.Body}
	run, ok := d.runs.find(dc.RunId)
	if !ok {
		return invalid(c, &action.InvalidError{Field: "run_id", Problem: "names no run in progress"})
	}
	c.ActionId = run.a.call.ActionId
	p := d.holder.Policy()
	if p == nil {
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, "no policy is in force yet")
	}
	m, err := p.Method(dc.Service, dc.Method)
	if err != nil {
		return invalid(c, asInvalid(err))
	}
	if len(c.Body) > m.BodyMax {
		return invalid(c, &action.InvalidError{Field: "body", Problem: fmt.Sprintf("has %d bytes, the method takes %d", len(c.Body), m.BodyMax)})
	}
	// The call ends with the run, and with the request of the backend server.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(run.ctx, cancel)()
	d.deeps.note(run.a.call.Method, deeper{service: dc.Service, method: dc.Method})
	r := d.forwardDeeper(ctx, run, c, m)
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
		run.called.Store(true)
	}
	if r.Starved {
		run.starved.Store(true)
	}
	return r
}

// forwardDeeper sends a deeper call with the class and account of its run.
func (d *Daemon) forwardDeeper(ctx context.Context, run *run, c *sycapb.Call, m policy.Method) *sycapb.Reply {
	// The class of the action stands at every depth.
	m.Rank = run.a.call.Rank
	o := d.prepare(c, m, run.a.id, run.a.deadline, run.acc)
	o.call.Depth = run.a.call.Depth
	o.call.Path = run.path(c.Service, c.Method, o.call.Digest)
	if m.Repeatable {
		return d.forward(ctx, o)
	}
	return d.claimed(ctx, o, fmt.Sprintf("%s/%x", run.a.id, o.call.Path))
}
