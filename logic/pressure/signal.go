package pressure

import "math"

// Signal is one thing that is measured of the process.
type Signal int

const (
	LoopDelay      Signal = iota // seconds by which a timer of the program's own came late
	LockWait                     // seconds that the gate's lock was waited for
	LinkQueue                    // age in seconds of the oldest command that the kernel link's writer has not taken up
	ReadDelay                    // seconds that RPCs lay unread beyond the usual
	Scheduler                    // seconds that goroutines waited for a processor, at the 99th percentile
	Collector                    // share of the processor time that the garbage collector took
	CPU                          // share of the processor time that the process may take
	Throttled                    // share of the time for which the system kept the process off its cores
	Memory                       // resident, as a share of the limit
	Descriptors                  // in use, as a share of the limit
	PendingReplies               // bytes of answers that callers do not read, as a share of what is set aside for them
	Leak                         // how soon steady growth reaches the memory limit; made by Read, not measured
	Signals
)

var names = [Signals]string{"loop", "lock", "link", "unread", "scheduler", "collector", "cpu", "throttled", "memory",
	"descriptors", "owed", "leak"}

func (s Signal) String() string { return names[s] }

// Level is how hard the process is pressed.
type Level uint8

const (
	Calm     Level = iota
	Wary           // shorter turns of reading, less credit
	Pressed        // the least worthy are refused
	Strained       // no new connections, large bodies refused unread, kept results trimmed
	Shut           // bad health, nothing new but repeats of what has begun
	levels
)

func (l Level) String() string {
	return [...]string{"calm", "wary", "pressed", "strained", "shut"}[l]
}

// Reading is one look at all signals. NaN is for what the platform does not show; so is every other figure without
// sense.
type Reading [Signals]float64

// Unknown is a reading of nothing.
func Unknown() (r Reading) {
	for k := range r {
		r[k] = math.NaN()
	}
	return r
}

// Thresholds are where a signal's levels begin, from Wary to Shut; +Inf for a level it does not lead to.
type Thresholds [levels - 1]float64

// Never is a threshold that is never reached.
var Never = math.Inf(1)

// TimeThresholds spreads a signal's threshold for Pressed over the levels, for signals that are times: half of it for Wary, four and
// twelve times for what is worse. Refusing the least worthy is to do it: at twice and six times connections were turned
// away, with what was worthy on them, before the share let in had found its place.
func TimeThresholds(pressed float64) Thresholds {
	return Thresholds{pressed / 2, pressed, 4 * pressed, 12 * pressed}
}

// ShareThresholds spreads a threshold for Pressed over the levels, for signals that are shares of a limit: the rest of the way to the
// limit is divided.
func ShareThresholds(pressed float64) Thresholds {
	rest := 1 - pressed
	return Thresholds{pressed - rest/2, pressed, pressed + rest*0.4, pressed + rest*0.7}
}

// of gives the level that a value of a signal is at, its thresholds scaled.
func (m Thresholds) of(v, scale float64) Level {
	if !(v >= 0) || m[0] == 0 && m[1] == 0 { // not known, or turned off
		return Calm
	}
	for l := Shut; l > Calm; l-- {
		if v >= m[l-1]*scale {
			return l
		}
	}
	return Calm
}

// sane takes out what no measurement can have given.
func sane(r Reading) Reading {
	for k, v := range r {
		if v < 0 || math.IsInf(v, 0) {
			r[k] = math.NaN()
		}
	}
	return r
}
