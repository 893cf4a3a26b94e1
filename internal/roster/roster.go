// Package roster reports this app server's state to the roster, from which routers learn of app servers.
package roster

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// reportInterval allows 12 reports within the 3 s after which a report expires. With a quarter of the reports
// lost, all 12 are lost once in sixteen million times; of three, at an interval of 0.8 s, all were lost once a
// minute.
const reportInterval = 250 * time.Millisecond

// listenUDP opens the socket that reports are sent from; tests replace it.
var listenUDP = func() (*net.UDPConn, error) { return net.ListenUDP("udp", nil) }

// Report sends what current returns, at each interval and on each change, until ctx ends. The roster's address may
// change between calls. A roster that is down sends no reply, so a report that could not be sent is treated like a
// lost one.
func Report(
	ctx context.Context,
	current func() (address netip.AddrPort, name string, listed bool),
	changed <-chan struct{},
) error {
	var conn *net.UDPConn
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if conn == nil {
			if c, err := listenUDP(); err == nil {
				defer c.Close()
				conn = c
			}
		}
		if conn != nil {
			address, name, listed := current()
			status := " on"
			if !listed {
				status = " off"
			}
			conn.WriteToUDPAddrPort([]byte("HERE "+name+status), address)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}
