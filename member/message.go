package member

import (
	"net/netip"

	"valveglade/logic/view"
)

// Receive has f told of messages from other members, and from this one to itself. It must not wait.
func (m *Member) Receive(f func(from string, message []byte)) { m.receive.Store(&f) }

// Send puts a message of some hundred bytes on its way to a member, by its name; it votes nothing. Members that the view
// has lost are sent to where they last were: whether they are there is not the view's to decide for whoever asks.
func (m *Member) Send(to string, message []byte) {
	if len(message) > maxNote || m.View().Certainty == view.Superseded {
		return
	}
	if to == m.config.Name {
		m.handleMessage(to, to, message)
		return
	}
	m.notes.Lock()
	at, known := m.notes.at[to]
	m.notes.Unlock()
	if known && m.wire.late() < m.wire.wake {
		m.wire.send(kindMessage, appendMessage(nil, m.config.Name, to, message), at)
	}
}

// handleMessage passes a message on to whoever receives them here.
func (m *Member) handleMessage(from, to string, message []byte) {
	if f := m.receive.Load(); f != nil && to == m.config.Name && m.View().Certainty != view.Superseded {
		(*f)(from, append([]byte(nil), message...))
	}
}

// maxAddresses bounds how many members' addresses are remembered: twice as many as a view holds.
const maxAddresses = 2048

// rememberAddresses remembers the addresses of a view's members.
func (m *Member) rememberAddresses(v *view.View) {
	m.notes.Lock()
	defer m.notes.Unlock()
	if m.notes.at == nil || len(m.notes.at) > maxAddresses {
		m.notes.at = map[string]netip.AddrPort{}
	}
	for _, e := range v.Members {
		if at, err := netip.ParseAddrPort(e.Address); err == nil {
			m.notes.at[e.Name] = at
		}
	}
}
