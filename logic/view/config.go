package view

// Config holds the parameters of a Machine; times are in seconds. Defaults returns the usual values and
// states their reasons.
type Config struct {
	BatchTime        float64 // changes within this time are published as one view
	HoldTime         float64 // a reported death is confirmed after this time
	SettleTime       float64 // a view is converged once it has not changed for this time
	HealthyTime      float64 // a view that lost members is healthy after being converged for this time
	JoinTimeout      float64 // a process that has found no other member stops joining after this time
	LagThreshold     float64 // lag of this process from which it suspects no other member
	RebuildThreshold float64 // lag from which gossip is rebuilt and every member verified again
	WakeGraceTime    float64 // time after a rebuild in which no member is declared dead
	ForgetTime       float64 // time after which a dead member, or the size before a partition, is forgotten
	MaxOverrideTime  float64 // bound on how long data path answers override a death reported by gossip
	MaxNames         int     // upper bound on the names known at a time
	MaxRemembered    int     // upper bound on the dead members among them
	MaxContacts      int     // upper bound on concurrent contact attempts
	Disabled         Rule    // rules disabled by tests that check that this is detected; none in service
}

// Rule is a set of rules that can be disabled.
type Rule uint16

// The rules. For each there is a property test that fails when the rule is disabled.
const (
	NewerWins        Rule = 1 << iota // of two incarnations with the same name the newer one counts
	ConfirmingDeath                   // a death counts only after it has stood for HoldTime
	Damping                           // changes of a flapping member are delayed for longer and longer
	DetectingOwnLag                   // a process that was late suspects itself before others
	DetectPartition                   // a view below half of the last healthy one is reported as partitioned
	Bounding                          // the number of names is bounded
	ComparingDigests                  // a view is converged only if recent digests of peers equal its own
	TrustingDataPath                  // reachability over the data path counts
	Rejoining                         // dead members are contacted again
	NotifyingNewer                    // an older incarnation is notified of a newer one
	Reconciling                       // all state is exchanged with a member whose view keeps differing
)

func (c *Config) enabled(rule Rule) bool { return c.Disabled&rule == 0 }

// Defaults returns the usual parameters, for a probe interval of 0.3 s.
func Defaults() Config {
	return Config{
		BatchTime:        0.2, // one gossip round, in which all effects of one cause arrive
		HoldTime:         0.6, // a member refutes a false death within two or three gossip rounds
		SettleTime:       1.2, // four probes, each of which returns a peer's digest
		HealthyTime:      10,  // longer than it takes to detect all members lost in one partition
		JoinTimeout:      3,   // ten attempts at the seed addresses
		LagThreshold:     0.3, // the timeout of a probe
		RebuildThreshold: 1.5, // shorter than any death detection, here or elsewhere
		WakeGraceTime:    2.5, // a contact, a gossip round, and the refutation of a suspicion
		ForgetTime:       600, // by then an operator has reacted, or the machine is gone
		MaxOverrideTime:  8,   // longer than a collector's or a switch's pause, shorter than a caller would notice
		MaxNames:         1024,
		MaxRemembered:    512,
		MaxContacts:      3,
	}
}
