package daemon

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"sycamorespread.dev/action"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/sycapb"
)

// Deeper handles a downstream call of the backend server beside this daemon.
// It implements the schema's Egress service.
func (d *Daemon) Deeper(ctx context.Context, req *connect.Request[sycapb.DeeperCall]) (*connect.Response[sycapb.Reply], error) {
	defer d.trackCall()()
	return connect.NewResponse(d.callDownstream(ctx, req.Msg)), nil
}

func (d *Daemon) callDownstream(ctx context.Context, call *sycapb.DeeperCall) *sycapb.Reply {
	c := &sycapb.Call{Service: call.Service, Method: call.Method, Body: call.Body}
	run, ok := d.runs.get(call.RunId)
	if !ok {
		return invalidReply(c, &action.InvalidError{Field: "run_id", Problem: "names no run in progress"})
	}
	c.ActionId = run.in.call.ActionId
	p := d.policyHolder.Policy()
	if p == nil {
		return action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, "no policy is in force yet")
	}
	m, err := p.Method(call.Service, call.Method)
	if err != nil {
		return invalidReply(c, toInvalidError(err))
	}
	if len(c.Body) > m.MaxBodyBytes {
		return invalidReply(c, &action.InvalidError{Field: "body", Problem: fmt.Sprintf("has %d bytes, the method takes %d", len(c.Body), m.MaxBodyBytes)})
	}
	// The call is cancelled when its run ends or the backend server cancels the request.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(run.ctx, cancel)()
	d.dependencies.record(run.in.call.Method, downstreamMethod{service: call.Service, method: call.Method})
	r := d.forwardDownstream(ctx, run, c, m)
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
		run.calledDownstream.Store(true)
	}
	if r.Starved {
		run.starved.Store(true)
	}
	return r
}

// forwardDownstream forwards a downstream call with the rank, the deadline and
// the allowance account of its run.
func (d *Daemon) forwardDownstream(ctx context.Context, run *run, c *sycapb.Call, m policy.Method) *sycapb.Reply {
	// An action keeps its rank at every depth of the call graph.
	m.Rank = run.in.call.Rank
	o := d.newOutbound(c, m, run.in.id, run.in.deadline, run.acc)
	o.call.Depth = run.in.call.Depth
	o.call.Path = run.nextPath(c.Service, c.Method, o.call.Digest)
	if m.Idempotent {
		return d.forward(ctx, o)
	}
	return d.forwardByKey(ctx, o, fmt.Sprintf("%s/%x", run.in.id, o.call.Path))
}
