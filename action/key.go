package action

import "sycamorespread.dev/sycapb"

// MaxRank is the rank of the least important class.
const MaxRank = 7

const hashBits = 16

// Key is an admission key. It orders calls by importance; a smaller key is more important. The
// upper bits are the rank of the class, the lower bits the hash of the action.
type Key uint32

// KeyOf returns the admission key of an action in the class with the given rank.
func KeyOf(rank uint32, id ID) Key {
	if rank > MaxRank {
		rank = MaxRank
	}
	return Key(rank<<hashBits | uint32(id.Hash()))
}

// Rank returns the rank of the class; 0 is the most important.
func (k Key) Rank() uint32 {
	return uint32(k) >> hashBits
}

// MaxKey is the least important key.
const MaxKey Key = (MaxRank+1)<<hashBits - 1

// Level is an admission threshold; keys up to and including it are admitted.
type Level Key

// AdmitAll is the level that admits every key.
const AdmitAll = Level(MaxKey)

// Admits reports whether the level admits a call with key k.
func (l Level) Admits(k Key) bool {
	return Key(l) >= k
}

// Proto returns the level in its wire format.
func (l Level) Proto() *sycapb.Level {
	return &sycapb.Level{Key: uint32(l), Open: l >= AdmitAll}
}

// LevelFromProto returns the level of a reply; a nil message means AdmitAll.
func LevelFromProto(p *sycapb.Level) Level {
	if p == nil || p.Open || p.Key > uint32(MaxKey) {
		return AdmitAll
	}
	return Level(p.Key)
}
