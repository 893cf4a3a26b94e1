//go:build race

package explore

// RaceEnabled reports whether the race detector is on. It slows searches so much that tests run only the smallest ones then.
const RaceEnabled = true
