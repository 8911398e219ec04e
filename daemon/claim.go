package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// maxKeyLen bounds an idempotency key, in bytes.
	maxKeyLen = 128
	// claimTTL is how long the platform remembers a claim at least.
	claimTTL = 10 * time.Minute
	// maxClusterClaimRate bounds the claims per second of all daemons together.
	maxClusterClaimRate = 300.0
	// claimLeaseReuse is how long one lease is used for new claims.
	claimLeaseReuse = time.Minute
)

// claimLease is the platform lease that new claims live with.
type claimLease struct {
	id        uint64
	grantedAt time.Time
}

// claim binds an idempotency key to a ticket.
type claim struct {
	name    string
	version uint64
	ticket  []byte
	// created tells that this daemon wrote the claim just now.
	created bool
}

// forwardByKey runs an unrepeatable call that came with a key only. The claim in
// the platform makes every entry use the same ticket for the same key.
func (d *Daemon) forwardByKey(ctx context.Context, o *outbound, key string) *sycapb.Reply {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	if d.platform == nil {
		return action.EmptyReply(o.call, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, "claims need the platform, which the settings do not name; open a ticket instead")
	}
	name := "claim/" + o.call.Service + "." + o.call.Method + "/" + key
	cl, refusal := d.acquireClaim(ctx, o, name, 0)
	if refusal != nil {
		return refusal
	}
	r := d.forwardClaim(ctx, o, cl)
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || cl.created && !retryElsewhere(r.Reason) {
		return r
	}
	// The ticket of the claim is void: it never ran and never will.
	cl, refusal = d.acquireClaim(ctx, o, name, cl.version)
	if refusal != nil {
		return refusal
	}
	return d.forwardClaim(ctx, o, cl)
}

// retryElsewhere reports whether another home may take a call that one refused.
func retryElsewhere(why sycapb.Reason) bool {
	return why == sycapb.Reason_REASON_LEAVING || why == sycapb.Reason_REASON_UNREACHABLE
}

func (d *Daemon) forwardClaim(ctx context.Context, o *outbound, cl *claim) *sycapb.Reply {
	home, err := ticketHome(cl.ticket)
	if err != nil {
		return invalidReply(o.call, err)
	}
	o.home = home
	o.call.Ticket = cl.ticket
	return d.forward(ctx, o)
}

// acquireClaim writes a claim over the given version, or returns the one that
// another entry wrote.
func (d *Daemon) acquireClaim(ctx context.Context, o *outbound, name string, base uint64) (*claim, *sycapb.Reply) {
	refuse := func(why sycapb.Reason, err error) (*claim, *sycapb.Reply) {
		return nil, action.EmptyReply(o.call, sycapb.Outcome_OUTCOME_NOTRUN, why, err.Error())
	}
	if most := d.updateClaimRate(); !d.claims.Allow() {
		return refuse(sycapb.Reason_REASON_SHED, errors.Errorf("this entry writes at most %.2g claims a second; open a ticket instead", most))
	}
	lease, err := d.claimLease(ctx)
	if err != nil {
		return refuse(sycapb.Reason_REASON_PLATFORM, err)
	}
	t := d.openTicket(ctx, &sycapb.TicketRequest{Service: o.call.Service, Method: o.call.Method})
	if t.Ticket == nil {
		return refuse(t.Reason, errors.New(t.Detail))
	}
	b, err := proto.Marshal(&sycapb.Claim{Key: name, Ticket: t.Ticket})
	if err != nil {
		return refuse(sycapb.Reason_REASON_INVALID, err)
	}
	item, err := d.putClaim(ctx, name, b, base, lease)
	if err != nil {
		return refuse(sycapb.Reason_REASON_PLATFORM, err)
	}
	stored := new(sycapb.Claim)
	if err := proto.Unmarshal(item.Value, stored); err != nil || len(stored.Ticket) == 0 {
		return refuse(sycapb.Reason_REASON_PLATFORM, errors.Errorf("claim %q cannot be read", name))
	}
	own := string(stored.Ticket) == string(t.Ticket)
	return &claim{name: name, version: item.Revision, ticket: stored.Ticket, created: own}, nil
}

// updateClaimRate sets and returns this daemon's share of the claims per second that
// the platform takes from the whole fleet, at most the one of the settings.
func (d *Daemon) updateClaimRate() float64 {
	most := min(d.cfg.ClaimRate, maxClusterClaimRate/float64(d.node.Len()+1))
	d.claims.SetLimit(rate.Limit(most))
	d.claims.SetBurst(max(1, int(most)))
	return most
}

// putClaim writes a claim and returns what stands there afterwards. When
// the answer is lost it reads back before anything else.
func (d *Daemon) putClaim(ctx context.Context, name string, value []byte, base, lease uint64) (store.Item, error) {
	put, err := d.platform.Put(ctx, name, value, base, lease)
	if err == nil {
		if put.LeaseExpired {
			d.dropLease(lease)
			return store.Item{}, errors.New("the platform no longer knows the lease of the claim")
		}
		return put.Item, nil
	}
	item, readErr := d.platform.Get(ctx, name)
	if readErr != nil {
		return store.Item{}, err
	}
	if item.Revision <= base {
		return store.Item{}, err
	}
	return item, nil
}

// claimLease returns a lease that lives for at least claimTTL.
func (d *Daemon) claimLease(ctx context.Context) (uint64, error) {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	asked := time.Now()
	if d.lease.id != 0 && asked.Sub(d.lease.grantedAt) < claimLeaseReuse {
		return d.lease.id, nil
	}
	id, err := d.platform.Grant(ctx, claimTTL+2*claimLeaseReuse)
	if err != nil {
		return 0, err
	}
	d.lease = claimLease{id: id, grantedAt: asked}
	return id, nil
}

// dropLease makes the next claim ask for a new lease.
func (d *Daemon) dropLease(id uint64) {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	if d.lease.id == id {
		d.lease = claimLease{}
	}
}
