package view

// Config has the figures that a Machine decides by; times are seconds. Defaults has them, and how each was chosen.
type Config struct {
	BatchTime        float64 // changes are gathered for so long before they make a view
	HoldTime         float64 // a death counts once it has stood so long
	SettleTime       float64 // a view is converged once nothing has changed for so long
	HealthyTime      float64 // a view that lost members counts as healthy once it has been converged for so long
	JoinTimeout      float64 // a process that has met nobody is no longer joining after so long
	LagThreshold     float64 // own lateness from which others are not accused
	RebuildThreshold float64 // own lateness after which all that is believed is asked for anew
	WakeGraceTime    float64 // how long after waking nobody is buried
	ForgetTime       float64 // after which a dead member, or the size of a lost fleet, is forgotten
	MaxOverrideTime  float64 // for at most so long what the data path reports stands against gossip's
	MaxNames         int     // names that are known at one time
	MaxRemembered    int     // of these, dead members
	MaxContacts      int     // addresses that are tried at once
	Disabled         Rule    // rules that are left out, to show that their loss is noticed: none in service
}

// Rule is a set of rules that can be left out.
type Rule uint16

// The rules, each of which a property test misses when it is left out.
const (
	NewerWins        Rule = 1 << iota // of two incarnations under one name the newer counts
	ConfirmingDeath                   // a death counts only once it has stood
	Damping                           // what flaps waits longer and longer
	DetectingOwnLag                   // who was late doubts itself first
	DetectPartition                   // less than half of a healthy view is reported as a partition
	Bounding                          // names are bounded
	ComparingDigests                  // converged only if those asked last see the same
	TrustingDataPath                  // what the data path reports counts
	Rejoining                         // dead members are contacted again
	NotifyingNewer                    // an older incarnation is told of a newer one
	Reconciling                       // with one that goes on seeing something else, all that is known is exchanged
)

func (t *Config) enabled(r Rule) bool { return t.Disabled&r == 0 }

// Defaults returns the usual config, for a probe every 0.3 s.
func Defaults() Config {
	return Config{
		BatchTime:        0.2, // a round of gossip: what one cause brings about comes within it
		HoldTime:         0.6, // a member refutes its own death within two or three rounds of gossip
		SettleTime:       1.2, // four probes, each of which brings another's digest
		HealthyTime:      10,  // past the slowest finding of the members of one cut
		JoinTimeout:      3,   // ten tries at given addresses
		LagThreshold:     0.3, // the time that a probe waits for
		RebuildThreshold: 1.5, // before that nobody has been buried, here or elsewhere
		WakeGraceTime:    2.5, // a meeting, a round of gossip, and a suspicion to be refuted
		ForgetTime:       600, // an operator has looked by then, or the machine is gone
		MaxOverrideTime:  8,   // over a stall of a collector or of a switch, under what a caller would notice
		MaxNames:         1024,
		MaxRemembered:    512,
		MaxContacts:      3,
	}
}
