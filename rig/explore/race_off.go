//go:build !race

package explore

// RaceEnabled tells whether the race detector is on, under which there is time for the smallest walks alone.
const RaceEnabled = false
