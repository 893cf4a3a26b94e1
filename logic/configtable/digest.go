package configtable

// Digest is a fingerprint of entries that does not depend on the order in which they came: the sum of one for each entry, so
// that the digests of disjoint sets add up. It is no defence against forgery.
type Digest uint64

// The constants of FNV-1a, and those of the finalizer of MurmurHash3, which spreads each bit over all.
const (
	fnvOffset         = 14695981039346656037
	fnvPrime          = 1099511628211
	murmurMultiplier1 = 0xff51afd7ed558ccd
	murmurMultiplier2 = 0xc4ceb9fe1a85ec53
	murmurShift       = 33
)

// digestRecord hashes the record of an entry; the key's length between the two keeps them apart.
func digestRecord(key, value []byte) Digest {
	hash := uint64(fnvOffset)
	for _, b := range key {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	hash = (hash ^ uint64(len(key))) * fnvPrime
	for _, one := range value {
		hash = (hash ^ uint64(one)) * fnvPrime
	}
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier1
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier2
	return Digest(hash ^ hash>>murmurShift)
}
