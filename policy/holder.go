package policy

import (
	"sync"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Holder stores the active policy of one daemon. It is safe for concurrent use.
type Holder struct {
	mu     sync.RWMutex
	policy *Policy
}

// NewHolder returns a Holder whose initial policy is p, the policy from the
// settings; p is nil if the settings name none.
func NewHolder(p *Policy) *Holder {
	return &Holder{policy: p}
}

// Policy returns the active policy, or nil if there is none yet.
func (h *Holder) Policy() *Policy {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.policy
}

// Revision returns the revision of the active policy, or 0 if there is none yet.
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

// Update activates p if its revision is higher than the active one, and reports
// whether it did.
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
