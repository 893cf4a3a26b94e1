package member

import (
	"net/netip"

	"valveglade/logic/view"
)

// Receive sets the handler of messages from other members and from this one. It must not block.
func (m *Member) Receive(f func(from string, message []byte)) { m.receive.Store(&f) }

// Send sends a message of some hundred bytes to the named member, without a guarantee of delivery. Members lost from
// the view are sent to at their last known address: whether they are alive is for the sender to decide, not for the
// view.
func (m *Member) Send(to string, message []byte) {
	if len(message) > maxMessageSize || m.View().Certainty == view.Superseded {
		return
	}
	if to == m.config.Name {
		m.handleMessage(to, to, message)
		return
	}
	m.addresses.Lock()
	at, known := m.addresses.byName[to]
	m.addresses.Unlock()
	if known && m.wire.lateness() < m.wire.rebuildThreshold {
		m.wire.send(kindMessage, appendMessage(nil, m.config.Name, to, message), at)
	}
}

// handleMessage passes a message to the handler set by Receive.
func (m *Member) handleMessage(from, to string, message []byte) {
	if f := m.receive.Load(); f != nil && to == m.config.Name && m.View().Certainty != view.Superseded {
		(*f)(from, append([]byte(nil), message...))
	}
}

// maxAddresses bounds the remembered addresses: twice as many as a view holds.
const maxAddresses = 2048

// rememberAddresses stores the addresses of a view's members.
func (m *Member) rememberAddresses(v *view.View) {
	m.addresses.Lock()
	defer m.addresses.Unlock()
	if m.addresses.byName == nil || len(m.addresses.byName) > maxAddresses {
		m.addresses.byName = map[string]netip.AddrPort{}
	}
	for _, e := range v.Members {
		if at, err := netip.ParseAddrPort(e.Address); err == nil {
			m.addresses.byName[e.Name] = at
		}
	}
}
