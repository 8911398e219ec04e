package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// maxKeyLen is the maximum length of an idempotency key in bytes.
	maxKeyLen = 128
	// claimTTL is the minimum time for which the store keeps a claim.
	claimTTL = 10 * time.Minute
	// maxClusterClaimRate is the maximum number of claims per second of all daemons together.
	maxClusterClaimRate = 300.0
	// claimLeaseReuse is how long new claims share one lease.
	claimLeaseReuse = time.Minute
)

// claimLease is the store lease that new claims are attached to.
type claimLease struct {
	id        store.Lease
	grantedAt time.Time
}

// claim is the record in the store that binds an idempotency key to a ticket.
type claim struct {
	storeKey string
	revision store.Revision
	ticket   []byte
	// created is true if this daemon has just written the claim, false if the claim was there already.
	created bool
}

// forwardByKey forwards a non-idempotent call that has an idempotency key but
// no ticket. The claim in the store makes every entry use the same ticket for
// the same key.
func (d *Daemon) forwardByKey(ctx context.Context, o *outbound, key string) *sycapb.Reply {
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	if d.platform == nil {
		return action.EmptyReply(o.call, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, "claims need the platform, which the settings do not name; open a ticket instead")
	}
	storeKey := "claim/" + o.call.Service + "." + o.call.Method + "/" + key
	cl, refusal := d.acquireClaim(ctx, o, storeKey, store.Revision{})
	if refusal != nil {
		return refusal
	}
	r := d.forwardClaim(ctx, o, cl)
	if r.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || cl.created && !retryElsewhere(r.Reason) {
		return r
	}
	// The ticket of the claim is void, so the call never ran and never will with it. Replace the claim.
	cl, refusal = d.acquireClaim(ctx, o, storeKey, cl.revision)
	if refusal != nil {
		return refusal
	}
	return d.forwardClaim(ctx, o, cl)
}

// retryElsewhere reports whether another instance may accept a call that the
// issuer of its ticket refused.
func retryElsewhere(reason sycapb.Reason) bool {
	return reason == sycapb.Reason_REASON_LEAVING || reason == sycapb.Reason_REASON_UNREACHABLE
}

func (d *Daemon) forwardClaim(ctx context.Context, o *outbound, cl *claim) *sycapb.Reply {
	issuer, err := ticketIssuer(cl.ticket)
	if err != nil {
		return invalidReply(o.call, err)
	}
	o.issuer = issuer
	o.call.Ticket = cl.ticket
	return d.forward(ctx, o)
}

// acquireClaim writes a claim with a new ticket over the revision base, or returns
// the claim that another entry wrote.
func (d *Daemon) acquireClaim(ctx context.Context, o *outbound, storeKey string, base store.Revision) (*claim, *sycapb.Reply) {
	refuse := func(reason sycapb.Reason, err error) (*claim, *sycapb.Reply) {
		return nil, action.EmptyReply(o.call, sycapb.Outcome_OUTCOME_NOTRUN, reason, err.Error())
	}
	if limit := d.updateClaimRate(); !d.claimLimiter.Allow() {
		return refuse(sycapb.Reason_REASON_SHED, errors.Errorf("this entry writes at most %.2g claims a second; open a ticket instead", limit))
	}
	lease, err := d.claimLease(ctx)
	if err != nil {
		return refuse(sycapb.Reason_REASON_PLATFORM, err)
	}
	if d.claimsMayBeLost() {
		return d.findClaim(ctx, o, storeKey, base)
	}
	t := d.openTicket(ctx, &sycapb.TicketRequest{Service: o.call.Service, Method: o.call.Method})
	if t.Ticket == nil {
		return refuse(t.Reason, errors.New(t.Detail))
	}
	b, err := proto.Marshal(&sycapb.Claim{Key: storeKey, Ticket: t.Ticket})
	if err != nil {
		return refuse(sycapb.Reason_REASON_INVALID, err)
	}
	item, err := d.putClaim(ctx, storeKey, b, base, lease)
	if err != nil {
		return refuse(sycapb.Reason_REASON_PLATFORM, err)
	}
	cl, err := decodeClaim(item)
	if err != nil {
		return refuse(sycapb.Reason_REASON_PLATFORM, err)
	}
	cl.created = string(cl.ticket) == string(t.Ticket)
	return cl, nil
}

// claimsMayBeLost reports whether the store was restored so lately that it may lack
// a claim that is still valid.
func (d *Daemon) claimsMayBeLost() bool {
	age, restored := d.platform.SinceRestore()
	return restored && age < claimTTL
}

// findClaim returns the claim in the store, or a refusal if there is none or if it
// has the revision base, which the caller wants to replace. The claim that is missing
// may have been lost in a restore of the store, after the call ran.
func (d *Daemon) findClaim(ctx context.Context, o *outbound, storeKey string, base store.Revision) (*claim, *sycapb.Reply) {
	item, err := d.platform.Get(ctx, storeKey)
	if err == nil && (item.Revision.Number == 0 || item.Revision == base) {
		err = errors.New("the platform was restored from a copy and may have lost the claim of this key; open a ticket instead")
	}
	var cl *claim
	if err == nil {
		cl, err = decodeClaim(item)
	}
	if err != nil {
		return nil, action.EmptyReply(o.call, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_PLATFORM, err.Error())
	}
	return cl, nil
}

// decodeClaim decodes the claim of an item. A claim that was withdrawn has no ticket.
func decodeClaim(item store.Item) (*claim, error) {
	stored := new(sycapb.Claim)
	if err := proto.Unmarshal(item.Value, stored); err != nil || len(stored.Ticket) == 0 {
		return nil, errors.Errorf("claim %q cannot be read or was withdrawn", item.Key)
	}
	return &claim{storeKey: item.Key, revision: item.Revision, ticket: stored.Ticket}, nil
}

// updateClaimRate sets and returns this daemon's limit of claims per second: its
// share of maxClusterClaimRate, and at most the configured rate.
func (d *Daemon) updateClaimRate() float64 {
	limit := min(d.cfg.ClaimRate, maxClusterClaimRate/float64(d.node.Len()+1))
	d.claimLimiter.SetLimit(rate.Limit(limit))
	d.claimLimiter.SetBurst(max(1, int(limit)))
	return limit
}

// putClaim writes a claim over the revision base and returns the claim that is then
// in the store. If the write fails it reads the claim back, since the write may
// have taken effect.
func (d *Daemon) putClaim(ctx context.Context, storeKey string, value []byte, base store.Revision, lease store.Lease) (store.Item, error) {
	put, err := d.platform.Put(ctx, storeKey, value, base, lease)
	if err == nil {
		if put.LeaseExpired {
			d.dropLease(lease)
			return store.Item{}, errors.New("the platform no longer knows the lease of the claim")
		}
		return put.Item, nil
	}
	var restored *store.RestoredError
	if errors.As(err, &restored) {
		d.dropLease(lease)
		if restored.Written {
			d.withdrawClaim(ctx, storeKey, value)
		}
		return store.Item{}, err
	}
	item, readErr := d.platform.Get(ctx, storeKey)
	if readErr != nil {
		return store.Item{}, err
	}
	if item.Revision.Number == 0 || item.Revision == base {
		return store.Item{}, err
	}
	return item, nil
}

// withdrawClaim replaces a claim with the given value by one without a ticket. The
// claim was written into a store that has just been restored, over one that was lost.
func (d *Daemon) withdrawClaim(ctx context.Context, storeKey string, value []byte) {
	withdraw := func() error {
		item, err := d.platform.Get(ctx, storeKey)
		if err != nil || string(item.Value) != string(value) {
			return err
		}
		empty, err := proto.Marshal(&sycapb.Claim{Key: storeKey})
		if err != nil {
			return err
		}
		lease, err := d.claimLease(ctx)
		if err != nil {
			return err
		}
		_, err = d.platform.Put(ctx, storeKey, empty, item.Revision, lease)
		return err
	}
	if err := withdraw(); err != nil {
		d.log.WithFields(logrus.Fields{"key": storeKey, "err": err}).Error("withdraw claim failed")
	}
}

// claimLease returns a lease that lasts for at least claimTTL.
func (d *Daemon) claimLease(ctx context.Context) (store.Lease, error) {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	requestedAt := time.Now()
	era, _ := d.platform.Era()
	if d.lease.id.ID != 0 && d.lease.id.Era == era && requestedAt.Sub(d.lease.grantedAt) < claimLeaseReuse {
		return d.lease.id, nil
	}
	id, err := d.platform.Grant(ctx, claimTTL+2*claimLeaseReuse)
	if err != nil {
		return store.Lease{}, err
	}
	d.lease = claimLease{id: id, grantedAt: requestedAt}
	return id, nil
}

// dropLease makes the next claim request a new lease.
func (d *Daemon) dropLease(id store.Lease) {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	if d.lease.id == id {
		d.lease = claimLease{}
	}
}
