// Package roster reports this app server to the list from which routers learn of it.
package roster

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// reportInterval: a report lapses after 3 s and a quarter of them are lost. Twelve in that time are all lost once in
// sixteen million times; three, as there were at 0.8 s, once in a minute.
const reportInterval = 250 * time.Millisecond

// listenUDP opens the socket that reports go out on.
var listenUDP = func() (*net.UDPConn, error) { return net.ListenUDP("udp", nil) }

// Report sends what say gives, each period and at once on each change, until ctx ends; what it gives may be
// another roster than before. A roster that is down answers nothing, so a report that could not be sent is one
// more that was lost.
func Report(ctx context.Context, say func() (at netip.AddrPort, name string, on bool), changed <-chan struct{}) error {
	var conn *net.UDPConn
	beat := time.NewTicker(reportInterval)
	defer beat.Stop()
	for {
		if conn == nil {
			if c, err := listenUDP(); err == nil {
				defer c.Close()
				conn = c
			}
		}
		if conn != nil {
			at, name, on := say()
			word := " on"
			if !on {
				word = " off"
			}
			conn.WriteToUDPAddrPort([]byte("HERE "+name+word), at)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-beat.C:
		}
	}
}
