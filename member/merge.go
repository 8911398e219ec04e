package member

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// CompareEntries compares two entries of one member by incarnation, epoch, then
// state. It returns a positive number if a supersedes b.
func CompareEntries(a, b *sycapb.MemberEntry) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.State, b.State),
	)
}

// Merge merges entries received from another daemon and gossips those that were
// new.
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

// merge merges one entry and reports whether the member list changed. The
// caller must hold n.mu.
func (n *Node) merge(e *sycapb.MemberEntry) bool {
	if e.GetId() == n.self.Id {
		n.refute(e)
		return false
	}
	addr, err := checkEntry(e)
	if err != nil {
		if n.cfg.OnInvalid != nil {
			n.cfg.OnInvalid(err)
		}
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
	m := &Member{Entry: proto.Clone(e).(*sycapb.MemberEntry), Addr: addr, UpdatedAt: n.cfg.Now()}
	if ok {
		m.Revision = old.Revision
	}
	n.members[e.Id] = m
	if ok || !dead {
		n.updates.add(e.Id, transmitLimit(len(n.members)))
	}
	return true
}

// refute supersedes an entry about this daemon that is newer than its own.
func (n *Node) refute(e *sycapb.MemberEntry) {
	if CompareEntries(e, n.self) <= 0 || e.Incarnation > maxIncarnation {
		return
	}
	if e.Incarnation > n.self.Incarnation {
		n.self.Incarnation = e.Incarnation
	}
	n.self.Epoch = max(n.self.Epoch, e.Epoch) + 1
	if n.self.Epoch == 0 {
		// No epoch is later than the last one.
		n.self.Incarnation++
	}
	n.updates.add(n.self.Id, transmitLimit(len(n.members)))
}

// entry returns the entry of a member or of this daemon, or nil. The caller must
// hold n.mu.
func (n *Node) entry(id string) *sycapb.MemberEntry {
	if id == n.self.Id {
		return n.self
	}
	if m, ok := n.members[id]; ok {
		return m.Entry
	}
	return nil
}

// setState changes the state of a member unless its entry was superseded since
// expected was read. It reports whether the state changed.
func (n *Node) setState(id string, expected *sycapb.MemberEntry, s sycapb.MemberState) bool {
	n.mu.Lock()
	m, ok := n.members[id]
	changed := false
	if ok && m.Entry.Incarnation == expected.Incarnation && m.Entry.Epoch == expected.Epoch && m.Entry.State < s {
		next := proto.Clone(m.Entry).(*sycapb.MemberEntry)
		next.State = s
		changed = n.merge(next)
	}
	n.mu.Unlock()
	if changed && n.cfg.OnChange != nil {
		n.cfg.OnChange()
	}
	return changed
}

// purge removes the members that have been dead or left for longer than their TTL.
func (n *Node) purge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.purgeLocked()
}

// purgeLocked implements purge. The caller must hold n.mu.
func (n *Node) purgeLocked() {
	now := n.cfg.Now()
	for id, m := range n.members {
		ttl := deadTTL
		switch m.Entry.State {
		case sycapb.MemberState_MEMBER_STATE_LEFT:
			ttl = leftTTL
		case sycapb.MemberState_MEMBER_STATE_DEAD:
		default:
			continue
		}
		if now.Sub(m.UpdatedAt) > ttl {
			delete(n.members, id)
		}
	}
}
