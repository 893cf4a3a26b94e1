package view

// Event is what a Machine is told.
type Event struct {
	Kind    EventKind
	Entry   Entry   // Alive; the name and incarnation of Dead, Leave and NewerIncarnation; the state, health and load of Self
	Name    string  // Reachability, Echo
	Address string  // ContactDone
	OK      bool    // Reachability, ContactDone: it answered
	Lag     float64 // Late: seconds
	Version uint64  // Echo
	Digest  uint64  // Echo
}

// EventKind is the kind of an event.
type EventKind uint8

// What a Machine can be told.
const (
	Alive            EventKind = iota // gossip says that this incarnation is alive, as in Entry
	Dead                              // gossip says that it is dead
	Leave                             // gossip says that it has left by its own word
	NewerIncarnation                  // another member knows a newer incarnation of our name, which has ended
	Reachability                      // the data path had an answer from a member, or failed to
	PeerDigest                        // what a member says of its own view
	Late                              // this process was off its core for so long
	Self                              // what is to be said of this process
	ContactDone                       // an address that was to be tried has been tried
)

// Action is what a Machine wants done.
type Action struct {
	Kind    ActionKind
	View    *View  // Publish
	Entry   Entry  // Announce: ours. NotifyNewerIncarnation: the one that the process at Address does not know of. Withdraw: the later one
	Address string // Contact, Probe, NotifyNewerIncarnation
	Name    string // Probe
}

// ActionKind is the kind of an action.
type ActionKind uint8

// What a Machine can want done.
const (
	Publish                ActionKind = iota // a view
	Announce                                 // what others are to hear of this process
	Contact                                  // meet whoever is at that address, and exchange all that is known
	Probe                                    // ask a member over the data path whether it is there
	NotifyNewerIncarnation                   // tell the process at that address of a newer incarnation of its name
	Rebuild                                  // begin gossip anew, without what was believed
	Withdraw                                 // a later process has our name: take no further part
)
