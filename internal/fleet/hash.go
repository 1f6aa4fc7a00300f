package fleet

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit xxHash of s, the input to rendezvous hashing.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Weight returns the rendezvous weight of node for key. The node with the
// highest weight owns the key. The weights of different nodes are independent.
func Weight(key, node uint64) uint64 {
	x := key ^ (node + 0x9e3779b97f4a7c15 + (key << 6) + (key >> 2))
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
