package rendezvous

import "github.com/cespare/xxhash/v2"

// Key is the hash of a key, computed once and used for all members.
type Key uint64

// HashKey hashes a key.
func HashKey(key string) Key { return Key(xxhash.Sum64String(key)) }

// Score returns the score of a member for the key; the member with the highest score is preferred.
func (k Key) Score(member string) uint64 { return mix(xxhash.Sum64String(member) ^ uint64(k)) }

// mix spreads the bits of the combined hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
