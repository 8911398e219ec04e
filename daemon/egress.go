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
	defer d.trackCall()()
	return connect.NewResponse(d.callDownstream(ctx, req.Msg)), nil
}

func (d *Daemon) callDownstream(ctx context.Context, dc *sycapb.DeeperCall) *sycapb.Reply {
	c := &sycapb.Call{Service: dc.Service, Method: dc.Method, Body: dc.Body}
	run, ok := d.runs.find(dc.RunId)
	if !ok {
		return invalidReply(c, &action.InvalidError{Field: "run_id", Problem: "names no run in progress"})
	}
	c.ActionId = run.in.call.ActionId
	p := d.holder.Policy()
	if p == nil {
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, "no policy is in force yet")
	}
	m, err := p.Method(dc.Service, dc.Method)
	if err != nil {
		return invalidReply(c, toInvalidError(err))
	}
	if len(c.Body) > m.MaxBodyBytes {
		return invalidReply(c, &action.InvalidError{Field: "body", Problem: fmt.Sprintf("has %d bytes, the method takes %d", len(c.Body), m.MaxBodyBytes)})
	}
	// The call ends with the run, and with the request of the backend server.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(run.ctx, cancel)()
	d.dependencies.record(run.in.call.Method, downstreamMethod{service: dc.Service, method: dc.Method})
	r := d.forwardDownstream(ctx, run, c, m)
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
		run.calledDownstream.Store(true)
	}
	if r.Starved {
		run.starved.Store(true)
	}
	return r
}

// forwardDownstream sends a deeper call with the class and account of its run.
func (d *Daemon) forwardDownstream(ctx context.Context, run *run, c *sycapb.Call, m policy.Method) *sycapb.Reply {
	// The class of the action stands at every depth.
	m.Rank = run.in.call.Rank
	o := d.newOutbound(c, m, run.in.id, run.in.deadline, run.acc)
	o.call.Depth = run.in.call.Depth
	o.call.Path = run.nextPath(c.Service, c.Method, o.call.Digest)
	if m.Idempotent {
		return d.forward(ctx, o)
	}
	return d.forwardByKey(ctx, o, fmt.Sprintf("%s/%x", run.in.id, o.call.Path))
}
