package member

import (
	"cmp"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// CompareEntries orders two entries of one member: by incarnation, epoch, then state.
// It returns a positive number when a supersedes b.
func CompareEntries(a, b *sycapb.MemberEntry) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.State, b.State),
	)
}

// Merge takes entries heard from another daemon and spreads those that are
// news.
func (n *Node) Merge(entries []*sycapb.MemberEntry) {
	if n.mergeAll(entries) && n.cfg.OnChange != nil {
		n.cfg.OnChange()
	}
}

func (n *Node) mergeAll(entries []*sycapb.MemberEntry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, e := range entries {
		if n.merge(e) {
			changed = true
		}
	}
	return changed
}

// merge takes one entry and reports whether it was news; n.mu is held.
func (n *Node) merge(e *sycapb.MemberEntry) bool {
	if e.GetId() == n.self.Id {
		n.refute(e)
		return false
	}
	addr, err := netip.ParseAddrPort(e.GetAddr())
	if err != nil || e.Id == "" {
		return false
	}
	old, ok := n.members[e.Id]
	if ok && CompareEntries(e, old.Entry) <= 0 {
		return false
	}
	dead := e.State >= sycapb.MemberState_MEMBER_STATE_DEAD
	if !ok && e.State == sycapb.MemberState_MEMBER_STATE_LEFT {
		return false
	}
	row := &Member{Entry: proto.Clone(e).(*sycapb.MemberEntry), Addr: addr, UpdatedAt: n.cfg.Now()}
	if ok {
		row.Revision = old.Revision
	}
	n.members[e.Id] = row
	if ok || !dead {
		n.updates.add(e.Id, transmitLimit(len(n.members)))
	}
	return true
}

// refute answers an entry about this daemon itself that is not its own.
func (n *Node) refute(e *sycapb.MemberEntry) {
	if CompareEntries(e, n.self) <= 0 {
		return
	}
	if e.Incarnation > n.self.Incarnation {
		n.self.Incarnation = e.Incarnation
	}
	n.self.Epoch = max(n.self.Epoch, e.Epoch) + 1
	n.updates.add(n.self.Id, transmitLimit(len(n.members)))
}

// entry returns what is known of a member, or of this daemon; n.mu is held.
func (n *Node) entry(id string) *sycapb.MemberEntry {
	if id == n.self.Id {
		return n.self
	}
	if r, ok := n.members[id]; ok {
		return r.Entry
	}
	return nil
}

// setState moves a member that still has the given entry to a state, as seen
// by this node.
func (n *Node) setState(id string, seen *sycapb.MemberEntry, s sycapb.MemberState) bool {
	n.mu.Lock()
	r, ok := n.members[id]
	moved := false
	if ok && r.Entry.Incarnation == seen.Incarnation && r.Entry.Epoch == seen.Epoch && r.Entry.State < s {
		next := proto.Clone(r.Entry).(*sycapb.MemberEntry)
		next.State = s
		moved = n.merge(next)
	}
	n.mu.Unlock()
	if moved && n.cfg.OnChange != nil {
		n.cfg.OnChange()
	}
	return moved
}

// purge drops members that are gone for long.
func (n *Node) purge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.purgeLocked()
}

// purgeLocked drops members that are gone for long; n.mu is held.
func (n *Node) purgeLocked() {
	now := n.cfg.Now()
	for id, r := range n.members {
		ttl := deadTTL
		switch r.Entry.State {
		case sycapb.MemberState_MEMBER_STATE_LEFT:
			ttl = leftTTL
		case sycapb.MemberState_MEMBER_STATE_DEAD:
		default:
			continue
		}
		if now.Sub(r.UpdatedAt) > ttl {
			delete(n.members, id)
		}
	}
}
