package action

import "sycamorespread.dev/sycapb"

// MaxRank is the rank of the least important class.
const MaxRank = 7

const hashBits = 16

// Key orders calls by importance; a smaller key is more important. The rank
// of the class is above the hash of the action.
type Key uint32

// KeyOf returns the admission key of an action in the class of the given rank.
func KeyOf(rank uint32, id ID) Key {
	if rank > MaxRank {
		rank = MaxRank
	}
	return Key(rank<<hashBits | uint32(id.Hash()))
}

// Rank returns the rank of the class, 0 is the most important.
func (k Key) Rank() uint32 {
	return uint32(k) >> hashBits
}

// MaxKey is the least important key.
const MaxKey Key = (MaxRank+1)<<hashBits - 1

// Level is an admission threshold: keys up to and including it are admitted.
type Level Key

// AdmitAll is the level that admits every key.
const AdmitAll = Level(MaxKey)

// Admits reports whether a call with key k passes the level.
func (l Level) Admits(k Key) bool {
	return Key(l) >= k
}

// Proto returns the level as it travels on a reply.
func (l Level) Proto() *sycapb.Level {
	return &sycapb.Level{Key: uint32(l), Open: l >= AdmitAll}
}

// LevelFromProto reads a level from a reply; nil means open.
func LevelFromProto(p *sycapb.Level) Level {
	if p == nil || p.Open || p.Key > uint32(MaxKey) {
		return AdmitAll
	}
	return Level(p.Key)
}
