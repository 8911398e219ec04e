// Package allow bounds the attempts that one action causes.
//
// The entry stamps an allowance on each action: the number of backend server
// runs it may cause in total. Every run spends one. A daemon that makes
// deeper attempts for a run gives each a share of what is left, and the reply
// returns what was not spent; a lost reply counts as all spent. The sum of
// runs therefore never exceeds the allowance, at any depth or fan-out and
// without any message of its own.
//
//	acc := allow.NewAccount(id, call.Allowance)
//	n := acc.Take(shares.Share(method, acc.Left()))
//	reply := forward(n)
//	acc.Return(n, reply.Unspent)
//
// Shares learns how much the subtree of each method spends, and Budget keeps
// retries a small part of the first attempts.
package allow

import (
	"sync"

	"sycamorespread.dev/action"
	"sycamorespread.dev/invar"
)

// Account holds what one run, or one action at its entry, may still spend.
type Account struct {
	mu          sync.Mutex
	id          action.ID
	remaining   uint32
	outstanding uint32
}

// NewAccount returns an account with n runs left for the action id.
func NewAccount(id action.ID, n uint32) *Account {
	return &Account{id: id, remaining: n}
}

// Remaining returns what can be given to further attempts.
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

// Return gives back the unspent part of a share of n runs. A reply that
// claims more than its share is a broken invariant and returns nothing.
func (a *Account) Return(share, unspent uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	invar.Check(unspent <= share, "allowance", a.id, "%d unspent of a share of %d", unspent, share)
	invar.Check(share <= a.outstanding, "allowance", a.id, "share of %d ended but only %d given", share, a.outstanding)
	if unspent > share {
		unspent = 0
	}
	a.outstanding -= min(share, a.outstanding)
	a.remaining += unspent
}

// Close ends the account and returns what is unspent. Shares that are still
// out count as spent.
func (a *Account) Close() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.remaining
	a.remaining = 0
	return n
}
