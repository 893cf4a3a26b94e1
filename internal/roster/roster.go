// Package roster reports this app server to the list from which routers learn of it.
package roster

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// period: a report lapses after 3 s, so two may be lost on the way and the third still comes in time.
const period = 800 * time.Millisecond

// Report says whether the app server takes work, each period and at once on each change, until ctx ends. A
// roster that is down answers nothing, so a report that could not be sent is one more that was lost.
func Report(ctx context.Context, at netip.AddrPort, name string, first bool, changes <-chan bool) error {
	var conn net.Conn
	beat := time.NewTicker(period)
	defer beat.Stop()
	for on := first; ; {
		word := " on"
		if !on {
			word = " off"
		}
		if conn == nil {
			if c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(at)); err == nil {
				defer c.Close()
				conn = c
			}
		}
		if conn != nil {
			conn.Write([]byte("HERE " + name + word))
		}
		select {
		case <-ctx.Done():
			return nil
		case on = <-changes:
		case <-beat.C:
		}
	}
}
