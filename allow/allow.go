// Package allow bounds the attempts that one action causes.
//
// The entry assigns an allowance to each action: the number of backend server
// runs that it may cause in total. Every run spends one. A daemon that makes
// downstream attempts for a run gives each a share of the remaining allowance,
// and the reply returns what was not spent; a lost reply counts as all spent.
// The sum of runs therefore never exceeds the allowance, at any depth or
// fan-out and without additional messages.
//
//	acc := allow.NewAccount(id, call.Allowance)
//	n := acc.Take(costs.Share(method, acc.Remaining()))
//	reply := forward(n)
//	acc.Return(n, reply.Unspent)
//
// CostEstimator estimates how much the subtree of each method spends, and
// Budget limits retries to a small ratio of the first attempts.
package allow

import (
	"sync"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Account holds the remaining allowance of one run, or of one action at its entry.
type Account struct {
	mu          sync.Mutex
	id          action.ID
	remaining   uint32
	outstanding uint32
}

// NewAccount returns an account of n runs for the action id.
func NewAccount(id action.ID, n uint32) *Account {
	return &Account{id: id, remaining: n}
}

// Remaining returns the number of runs that can be given to further attempts.
func (a *Account) Remaining() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remaining
}

// Take removes up to n runs and returns how many it removed.
func (a *Account) Take(n uint32) uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, a.remaining)
	a.remaining -= n
	a.outstanding += n
	return n
}

// Return returns the unspent part of a share of n runs to the account. An unspent part larger than
// the share violates an invariant and returns nothing.
func (a *Account) Return(share, unspent uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	invar.Check(unspent <= share, "allowance", a.id, "%d unspent of a share of %d", unspent, share)
	invar.Check(share <= a.outstanding, "allowance", a.id, "share of %d returned but only %d outstanding", share, a.outstanding)
	if unspent > share {
		unspent = 0
	}
	a.outstanding -= min(share, a.outstanding)
	a.remaining += unspent
}

// Close ends the account and returns the unspent runs. Shares that are still outstanding count as
// spent.
func (a *Account) Close() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.remaining
	a.remaining = 0
	return n
}
