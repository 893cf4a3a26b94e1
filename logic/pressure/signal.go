package pressure

import "math"

// Signal is one measured property of the process.
type Signal int

const (
	LoopDelay      Signal = iota // seconds by which a timer of the program fired late
	LockWait                     // seconds spent waiting for the gate's lock
	LinkQueue                    // age in seconds of the oldest command waiting for the kernel link's writer
	ReadDelay                    // seconds between arrival and read of RPCs, beyond the usual
	Scheduler                    // seconds that goroutines waited for a processor, 99th percentile
	Collector                    // share of the processor time used by the garbage collector
	CPU                          // used share of the processor time available to the process
	Throttled                    // share of the time during which the system throttled the process
	Memory                       // resident memory, as a share of the limit
	Descriptors                  // descriptors in use, as a share of the limit
	PendingReplies               // bytes of replies that callers have not read, as a share of their memory
	Leak                         // configured forecast divided by the time to the memory limit; see Update
	Signals                      // number of signals
)

var signalNames = [Signals]string{"loop", "lock", "link", "unread", "scheduler", "collector", "cpu",
	"throttled", "memory", "descriptors", "owed", "leak"}

func (s Signal) String() string { return signalNames[s] }

// Level is the degree of pressure that the process is under.
type Level uint8

const (
	Calm     Level = iota
	Wary           // fewer RPCs per read turn, less credit
	Pressed        // RPCs of the lowest criticality are refused
	Strained       // no new connections, large bodies refused unread, less memory for kept results
	Shut           // health checks fail, nothing new is admitted except repeats of RPCs that have begun
	levels         // number of levels
)

func (l Level) String() string {
	return [...]string{"calm", "wary", "pressed", "strained", "shut"}[l]
}

// Reading holds one sample of all signals. NaN stands for a value that the platform does not provide or that
// is invalid.
type Reading [Signals]float64

// Unknown returns a reading without any known value.
func Unknown() (r Reading) {
	for k := range r {
		r[k] = math.NaN()
	}
	return r
}

// Thresholds holds the values at which a signal's levels begin, from Wary to Shut; +Inf for a level it never
// causes.
type Thresholds [levels - 1]float64

// Never is a threshold that is never reached.
var Never = math.Inf(1)

// TimeThresholds derives the thresholds of a signal that is a time from its threshold for Pressed: half of it
// for Wary, four and twelve times for Strained and Shut. Refusing RPCs of low criticality should be enough:
// at two and six times, connections were rejected along with the critical RPCs on them before the admitted
// share had settled.
func TimeThresholds(pressed float64) Thresholds {
	return Thresholds{pressed / 2, pressed, 4 * pressed, 12 * pressed}
}

// ShareThresholds derives the thresholds of a signal that is a share of a limit from its threshold for
// Pressed, by dividing the distance to the limit.
func ShareThresholds(pressed float64) Thresholds {
	rest := 1 - pressed
	return Thresholds{pressed - rest/2, pressed, pressed + rest*0.4, pressed + rest*0.7}
}

// levelAt returns the level for a value of the signal, with the thresholds scaled.
func (t Thresholds) levelAt(value, scale float64) Level {
	if !(value >= 0) || t[0] == 0 && t[1] == 0 { // unknown, or turned off
		return Calm
	}
	for l := Shut; l > Calm; l-- {
		if value >= t[l-1]*scale {
			return l
		}
	}
	return Calm
}

// sanitize replaces impossible values with NaN.
func sanitize(r Reading) Reading {
	for k, v := range r {
		if v < 0 || math.IsInf(v, 0) {
			r[k] = math.NaN()
		}
	}
	return r
}
