package policy

import (
	"sync"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Holder keeps the policy in force in one daemon. It is safe for concurrent
// use.
type Holder struct {
	mu     sync.RWMutex
	policy *Policy
}

// NewHolder returns a holder with the policy of the settings, or nil for none.
func NewHolder(p *Policy) *Holder {
	return &Holder{policy: p}
}

// Policy returns the policy in force, nil when there is none yet.
func (h *Holder) Policy() *Policy {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.policy
}

// Revision returns the revision in force, 0 when there is none yet.
func (h *Holder) Revision() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.revision()
}

func (h *Holder) revision() uint64 {
	if h.policy == nil {
		return 0
	}
	return h.policy.Revision
}

// Update puts p in force if its revision is higher, and reports whether it
// did.
func (h *Holder) Update(p *Policy) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.policy != nil && p.Revision <= h.policy.Revision {
		return false
	}
	before := h.revision()
	h.policy = p
	invar.Check(h.revision() > before || before == 0, "revision", action.ID{}, "revision %d after %d", p.Revision, before)
	return true
}
