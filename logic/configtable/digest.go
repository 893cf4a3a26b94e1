package configtable

// Digest is an order-independent hash of a set of entries: the sum of the hashes of all entries, so that the
// digest of a union of disjoint sets is the sum of their digests. It is not cryptographic.
type Digest uint64

// Constants of FNV-1a, and of the finalizer of MurmurHash3, which makes each bit of the hash depend on all
// others.
const (
	fnvOffset         = 14695981039346656037
	fnvPrime          = 1099511628211
	murmurMultiplier1 = 0xff51afd7ed558ccd
	murmurMultiplier2 = 0xc4ceb9fe1a85ec53
	murmurShift       = 33
)

// digestRecord hashes the record of an entry. The key's length is hashed between key and value, so that bytes
// moved from one to the other change the hash.
func digestRecord(key, value []byte) Digest {
	hash := uint64(fnvOffset)
	for _, keyByte := range key {
		hash = (hash ^ uint64(keyByte)) * fnvPrime
	}
	hash = (hash ^ uint64(len(key))) * fnvPrime
	for _, valueByte := range value {
		hash = (hash ^ uint64(valueByte)) * fnvPrime
	}
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier1
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier2
	return Digest(hash ^ hash>>murmurShift)
}
