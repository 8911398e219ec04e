package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/burn"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/sycapb"
)

const (
	// defaultInForceTimeout is how long Accept waits until the policy is in force in all zones.
	defaultInForceTimeout = 3 * time.Second
	// inForceCheckInterval is the time between two checks of the revisions that the members reported.
	inForceCheckInterval = 20 * time.Millisecond
	// inForcePollInterval is the time between two polls of the members. It grows by the same time for every
	// membersPerPoll members.
	inForcePollInterval = 100 * time.Millisecond
	membersPerPoll      = 200
	// burnTimeout bounds the request to one member for its burn counts.
	burnTimeout = time.Second
	// burnConcurrency bounds the concurrent requests for burn counts.
	burnConcurrency = 32
)

// requireRegistry returns an error if policies cannot be changed through this
// daemon.
func (d *Daemon) requireRegistry() error {
	if d.front != nil {
		return connect.NewError(connect.CodeFailedPrecondition,
			errors.Errorf("the policy of this deployment is the configuration that its operator keeps in the platform under %q; change it there", d.adapter.PolicyKey))
	}
	if d.registry == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the settings of this daemon name no platform; ask another daemon"))
	}
	return nil
}

// connectError wraps an error of the registry with its connect code.
func connectError(err error) error {
	var invalid *policy.LineError
	var rejected *policy.RejectedError
	var conflict *policy.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &rejected):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// Propose implements the schema's Operator service.
func (d *Daemon) Propose(ctx context.Context, req *connect.Request[sycapb.ProposeRequest]) (*connect.Response[sycapb.ProposeReply], error) {
	if err := d.requireRegistry(); err != nil {
		return nil, err
	}
	c, err := d.registry.Propose(ctx, req.Msg.Author, req.Msg.Summary, req.Msg.Text)
	if err != nil {
		return nil, connectError(err)
	}
	d.log.WithFields(logrus.Fields{"change": c.Id, "author": c.Author}).Info("policy proposed")
	return connect.NewResponse(&sycapb.ProposeReply{Change: c}), nil
}

// Review implements the schema's Operator service.
func (d *Daemon) Review(ctx context.Context, req *connect.Request[sycapb.ReviewRequest]) (*connect.Response[sycapb.ReviewReply], error) {
	if err := d.requireRegistry(); err != nil {
		return nil, err
	}
	c, err := d.registry.Review(ctx, req.Msg.ChangeId, req.Msg.Review)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&sycapb.ReviewReply{Change: c}), nil
}

// Accept implements the schema's Operator service.
func (d *Daemon) Accept(ctx context.Context, req *connect.Request[sycapb.AcceptRequest]) (*connect.Response[sycapb.AcceptReply], error) {
	if err := d.requireRegistry(); err != nil {
		return nil, err
	}
	start := time.Now()
	rev, err := d.acceptChange(ctx, req.Msg.ChangeId)
	reply := acceptReply(rev, err)
	if reply == nil {
		return nil, connectError(err)
	}
	d.log.WithFields(logrus.Fields{"change": req.Msg.ChangeId, "author": req.Msg.Author, "result": reply.Result, "revision": rev}).Info("policy accept ended")
	if reply.Result == sycapb.AcceptResult_ACCEPT_RESULT_ACCEPTED {
		wait := defaultInForceTimeout
		if req.Msg.WaitMs > 0 {
			wait = time.Duration(req.Msg.WaitMs) * time.Millisecond
		}
		reply.Zones = d.awaitInForce(ctx, rev, wait)
		reply.ForceMs = time.Since(start).Milliseconds()
	}
	return connect.NewResponse(reply), nil
}

// acceptChange accepts a change unless the policy head in the store is older
// than the policy in force.
func (d *Daemon) acceptChange(ctx context.Context, id string) (uint64, error) {
	item, err := d.platform.Get(ctx, policy.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := policy.ParseHead(item.Value)
	if err != nil {
		return 0, err
	}
	if have := d.policyHolder.Revision(); head.Revision < have {
		return 0, &policy.RejectedError{Problem: errors.Errorf("the platform is at revision %d but revision %d is in force: restore the platform first", head.Revision, have).Error()}
	}
	rev, err := d.registry.Accept(ctx, id)
	if err == nil {
		// An error was logged; the change is in force at the latest when the watchers see it.
		_ = d.readHead(ctx)
	}
	return rev, err
}

// acceptReply returns the reply to an accept, or nil if the error has to be
// returned instead.
func acceptReply(rev uint64, err error) *sycapb.AcceptReply {
	var conflict *policy.ConflictError
	var rejected *policy.RejectedError
	var unknown *policy.UnknownOutcomeError
	switch {
	case err == nil:
		return &sycapb.AcceptReply{Result: sycapb.AcceptResult_ACCEPT_RESULT_ACCEPTED, Revision: rev}
	case errors.As(err, &conflict):
		return &sycapb.AcceptReply{Result: sycapb.AcceptResult_ACCEPT_RESULT_CONFLICT, Winner: conflict.AcceptedID, Detail: err.Error()}
	case errors.As(err, &rejected):
		return &sycapb.AcceptReply{Result: sycapb.AcceptResult_ACCEPT_RESULT_REFUSED, Detail: err.Error()}
	case errors.As(err, &unknown):
		return &sycapb.AcceptReply{Result: sycapb.AcceptResult_ACCEPT_RESULT_UNKNOWN, Detail: err.Error()}
	}
	return nil
}

// awaitInForce waits up to wait until every live member has the revision, and
// returns the counts of each zone.
func (d *Daemon) awaitInForce(ctx context.Context, rev uint64, wait time.Duration) []*sycapb.ZoneForce {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	interval := inForcePollInterval * time.Duration(1+d.node.Len()/membersPerPoll)
	lastPoll := time.Now()
	for {
		zones, all := d.zonesInForce(rev)
		if all || ctx.Err() != nil {
			return zones
		}
		if time.Since(lastPoll) >= interval {
			d.node.PollRevision(rev)
			lastPoll = time.Now()
		}
		sleep(ctx, inForceCheckInterval)
	}
}

func (d *Daemon) zonesInForce(rev uint64) (zones []*sycapb.ZoneForce, all bool) {
	byZone := map[string]*sycapb.ZoneForce{}
	all = true
	count := func(e *sycapb.MemberEntry, has bool) {
		z, ok := byZone[e.Zone]
		if !ok {
			z = &sycapb.ZoneForce{Zone: e.Zone}
			byZone[e.Zone] = z
			zones = append(zones, z)
		}
		z.Members++
		if has {
			z.InForce++
		}
		all = all && has
	}
	count(d.node.Self(), d.policyHolder.Revision() >= rev)
	for _, r := range d.node.Members() {
		if r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			count(r.Entry, r.Revision >= rev)
		}
	}
	return zones, all
}

// History implements the schema's Operator service.
func (d *Daemon) History(ctx context.Context, req *connect.Request[sycapb.HistoryRequest]) (*connect.Response[sycapb.HistoryReply], error) {
	if err := d.requireRegistry(); err != nil {
		return nil, err
	}
	head, changes, err := d.registry.History(ctx, int(req.Msg.Limit))
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&sycapb.HistoryReply{Head: head, Changes: changes}), nil
}

// Policy implements the schema's Operator service.
func (d *Daemon) Policy(context.Context, *connect.Request[sycapb.PolicyRequest]) (*connect.Response[sycapb.PolicyReply], error) {
	p := d.policyHolder.Policy()
	if p == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no policy is in force yet; propose and accept one"))
	}
	return connect.NewResponse(&sycapb.PolicyReply{Revision: p.Revision, ChangeId: p.ChangeID, Text: p.Text}), nil
}

// Members implements the schema's Operator service.
func (d *Daemon) Members(context.Context, *connect.Request[sycapb.MembersRequest]) (*connect.Response[sycapb.MembersReply], error) {
	rows := []*sycapb.MemberRow{{Entry: d.node.Self(), PolicyRevision: d.policyHolder.Revision()}}
	members := d.node.Members()
	live := map[string]bool{d.cfg.Zone: true}
	for _, r := range members {
		if r.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE {
			live[r.Entry.Zone] = true
		}
	}
	for _, r := range members {
		rows = append(rows, &sycapb.MemberRow{Entry: r.Entry, Cut: !live[r.Entry.Zone], PolicyRevision: r.Revision})
	}
	slices.SortFunc(rows, func(a, b *sycapb.MemberRow) int {
		return cmp.Or(cmp.Compare(a.Entry.Zone, b.Entry.Zone), cmp.Compare(a.Entry.Id, b.Entry.Id))
	})
	return connect.NewResponse(&sycapb.MembersReply{Members: rows}), nil
}

func (d *Daemon) localBurn(*sycapb.BurnRequest) *sycapb.BurnReply {
	return &sycapb.BurnReply{
		ShortMs:  burn.Short.Milliseconds(),
		LongMs:   burn.Long.Milliseconds(),
		StepMs:   burn.BucketInterval.Milliseconds(),
		Rows:     d.burnRecorder.Rows(),
		Asked:    1,
		Answered: 1,
	}
}

// Burn implements the schema's Operator service.
func (d *Daemon) Burn(ctx context.Context, req *connect.Request[sycapb.BurnRequest]) (*connect.Response[sycapb.BurnReply], error) {
	reply := d.localBurn(req.Msg)
	if req.Msg.Local {
		return connect.NewResponse(reply), nil
	}
	var lists [][]*sycapb.BurnRow
	for _, r := range d.fetchBurn(ctx) {
		reply.Asked++
		if r != nil {
			reply.Answered++
			lists = append(lists, r.Rows)
		}
	}
	reply.Rows = burn.Merge(append(lists, reply.Rows)...)
	return connect.NewResponse(reply), nil
}

// fetchBurn requests the burn counts of every live member. The reply of a member
// that does not respond is nil.
func (d *Daemon) fetchBurn(ctx context.Context) []*sycapb.BurnReply {
	rows := d.node.Members()
	replies := make([]*sycapb.BurnReply, 0, len(rows))
	var g errgroup.Group
	g.SetLimit(burnConcurrency)
	for _, r := range rows {
		if r.Entry.State >= sycapb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		i := len(replies)
		replies = append(replies, nil)
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, burnTimeout)
			defer cancel()
			reply, err := d.peers.LocalBurn(ctx, r.Addr, &sycapb.BurnRequest{Local: true})
			if err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	_ = g.Wait()
	return replies
}

// Quarantine implements the schema's Operator service.
func (d *Daemon) Quarantine(context.Context, *connect.Request[sycapb.QuarantineRequest]) (*connect.Response[sycapb.QuarantineReply], error) {
	var rows []*sycapb.QuarantineRow
	for _, e := range d.quarantine.Entries() {
		state := d.quarantine.State(poison.Fingerprint(e.Fingerprint))
		if state == poison.Clear {
			continue
		}
		rows = append(rows, &sycapb.QuarantineRow{
			Fingerprint: e.Fingerprint,
			Service:     e.Service,
			Method:      e.Method,
			Crashes:     e.Crashes,
			Quarantined: state == poison.Quarantined,
		})
	}
	return connect.NewResponse(&sycapb.QuarantineReply{Rows: rows}), nil
}

// Lift implements the schema's Operator service.
func (d *Daemon) Lift(_ context.Context, req *connect.Request[sycapb.LiftRequest]) (*connect.Response[sycapb.LiftReply], error) {
	found := d.quarantine.Lift(poison.Fingerprint(req.Msg.Fingerprint))
	return connect.NewResponse(&sycapb.LiftReply{Found: found}), nil
}

// Leave implements the schema's Operator service.
func (d *Daemon) Leave(ctx context.Context, _ *connect.Request[sycapb.LeaveRequest]) (*connect.Response[sycapb.LeaveReply], error) {
	d.startLeaving()
	if err := d.backend.Drain(ctx); err != nil {
		d.log.WithField("err", err).Warn("drain of backend server failed")
	}
	return connect.NewResponse(&sycapb.LeaveReply{Inflight: uint32(d.inflight.Load())}), nil
}

// Levels implements the schema's Operator service.
func (d *Daemon) Levels(context.Context, *connect.Request[sycapb.LevelsRequest]) (*connect.Response[sycapb.LevelsReply], error) {
	return connect.NewResponse(&sycapb.LevelsReply{Rows: d.table.LevelRows()}), nil
}

// Metrics implements the schema's Operator service.
func (d *Daemon) Metrics(context.Context, *connect.Request[sycapb.MetricsRequest]) (*connect.Response[sycapb.MetricsReply], error) {
	d.updateGauges()
	return connect.NewResponse(&sycapb.MetricsReply{Metrics: d.stats.Snapshot()}), nil
}

// updateGauges sets the gauges to the present state.
func (d *Daemon) updateGauges() {
	s := d.gate.Stats()
	in, out := d.node.Traffic()
	values := map[string]float64{
		"gate.inflight":    float64(s.Inflight),
		"gate.queued":      float64(s.Queued),
		"gate.limit":       float64(s.Limit),
		"gate.level":       float64(d.gate.Level()),
		"gate.rate_limit":  d.gate.RateLimit(),
		"members":          float64(d.node.Len() + 1),
		"member.bytes_in":  float64(in),
		"member.bytes_out": float64(out),
		"policy.revision":  float64(d.policyHolder.Revision()),
		"tickets.held":     float64(d.tickets.Len()),
		"actions.held":     float64(d.actions.Len()),
		"peer.dials":       float64(d.peers.Dials()),
	}
	if age, ok := d.confirmed.Age(d.policyHolder.Revision()); ok {
		values["policy.confirmed_ms"] = float64(age.Milliseconds())
	}
	if d.platform != nil {
		c := d.platform.Counts()
		values["platform.reads"] = float64(c.Reads)
		values["platform.writes"] = float64(c.Writes)
		values["platform.watches"] = float64(c.Watches)
		e := d.storeEra()
		values["platform.era"] = float64(e.Era)
		if e.Restored {
			values["platform.restore_age_ms"] = float64(e.SinceRestore.Milliseconds())
		}
	}
	if d.front != nil {
		values["front.dials_server"] = float64(d.serverPool.Dials())
		values["front.dials_peer"] = float64(d.peerPool.Dials())
		values["front.inflight"] = float64(d.front.Inflight())
	}
	if d.adapter.DroppedLogs != nil {
		values["log.dropped"] = float64(d.adapter.DroppedLogs())
	}
	d.stats.Gauges(values)
}
