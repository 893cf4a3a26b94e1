//go:build !race

package owner

const raceDetector = false
