//go:build !race

package explore

// RaceEnabled reports whether the race detector is on, with which only the smallest searches finish in reasonable time.
const RaceEnabled = false
