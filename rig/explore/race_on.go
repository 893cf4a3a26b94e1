//go:build race

package explore

// Race tells whether the race detector is on, under which there is time for the smallest walks alone.
const Race = true
