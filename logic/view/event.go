package view

// Event is an input of a Machine. The comment on each field lists the kinds that use it.
type Event struct {
	Kind    EventKind
	Entry   Entry   // Alive; Dead, Leave, NewerIncarnation: name, incarnation; Self: state, health, load
	Name    string  // Reachability, PeerDigest
	Address string  // ContactDone
	OK      bool    // Reachability, ContactDone: whether there was an answer
	Lag     float64 // Late: seconds
	Version uint64  // PeerDigest
	Digest  uint64  // PeerDigest
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Alive            EventKind = iota // gossip reports this incarnation, described by Entry, as alive
	Dead                              // gossip reports it as dead
	Leave                             // gossip reports that it left voluntarily
	NewerIncarnation                  // a peer knows a newer incarnation of our name, which has ended
	Reachability                      // the data path had an answer from a member, or a failure
	PeerDigest                        // version and digest of a peer's view
	Late                              // this process was not running for some time
	Self                              // new state, health and load of this process
	ContactDone                       // a contact attempt has ended
)

// Action is an output of a Machine, to be carried out by the caller.
type Action struct {
	Kind    ActionKind
	View    *View  // Publish
	Entry   Entry  // Announce: our own. NotifyNewerIncarnation: the newer one. Withdraw: the later process
	Address string // Contact, Probe, NotifyNewerIncarnation
	Name    string // Probe
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	Publish                ActionKind = iota // publish View
	Announce                                 // announce Entry to the other members
	Contact                                  // exchange all state with the process at Address
	Probe                                    // probe a member over the data path
	NotifyNewerIncarnation                   // notify the process at Address of a newer incarnation
	Rebuild                                  // restart gossip, discarding its state
	Withdraw                                 // a later process has our name: stop taking part
)
