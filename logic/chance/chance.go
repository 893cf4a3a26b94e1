// Package chance provides deterministic pseudo-random numbers that depend on a seed and a counter alone, so
// that runs can be replayed. All random decisions under logic/ use this package.
package chance

import (
	"encoding/binary"
	"hash/fnv"
)

// At returns the n-th number of the sequence for a seed, in [0, 1).
func At(seed, n uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], n)
	h := fnv.New64a()
	h.Write(b[:])
	x := h.Sum64()
	// The last bytes of the counter hardly affect the upper bits of FNV. Without this mixing, consecutive
	// counters would give similar numbers.
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}
