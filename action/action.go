// Package action defines the identity of an action and the parts of a call that
// stay the same at every hop.
//
// An action is one operation of a member or of a crew, such as a payment of
// dues. It has a 128-bit ID that every attempt at every depth carries. The ID
// and the class of the action give its admission Key: the class first, then a
// hash of the ID. Every daemon thus orders actions in the same way, and
// overload sheds the same actions along the whole call chain.
//
//	id := action.NewID()
//	key := action.KeyOf(rank, id)
//	if !level.Admits(key) {
//		// shed the call
//	}
package action

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// IDSize is the length of an ID in bytes.
const IDSize = 16

// ID identifies one action across its whole call chain.
type ID [IDSize]byte

// NewID returns a random ID.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:])
	return id
}

// ParseID decodes an ID from its 16 bytes. It returns an *InvalidError for a wrong length or an
// all-zero ID.
func ParseID(b []byte) (ID, error) {
	var id ID
	if len(b) != IDSize {
		return id, &InvalidError{Field: "action_id", Problem: fmt.Sprintf("has %d bytes, want %d", len(b), IDSize)}
	}
	copy(id[:], b)
	if id == (ID{}) {
		return id, &InvalidError{Field: "action_id", Problem: "is all zero"}
	}
	return id, nil
}

// String returns the ID in hexadecimal.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// Hash returns the position of the action within its class, from 0 to 65535.
func (id ID) Hash() uint16 {
	return uint16(xxhash.Sum64(id[:]) >> 48)
}

// Digest returns the 64-bit xxHash of a body.
func Digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// InvalidError reports a malformed field of a request.
type InvalidError struct {
	// Field is the name of the field in the schema.
	Field string
	// Problem is the predicate of the message; the field name is the subject.
	Problem string
}

func (e *InvalidError) Error() string {
	return e.Field + " " + e.Problem
}
