package roster

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// testTimeout is for what must come.
const testTimeout = 20 * time.Second

// readReport waits for one report.
func readReport(t *testing.T, conn net.PacketConn) string {
	t.Helper()
	buffer := make([]byte, 100)
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	n, _, err := conn.ReadFrom(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

// Reports begin once there is a descriptor for their socket, and go on over an outage of the roster.
func TestReportOutages(t *testing.T) {
	failures := 2
	usual := listenUDP
	defer func() { listenUDP = usual }()
	listenUDP = func() (*net.UDPConn, error) {
		if failures > 0 {
			failures--
			return nil, &net.OpError{Op: "listen", Err: syscall.EMFILE}
		}
		return usual()
	}
	roster, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(roster.LocalAddr().String())
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error)
	go func() {
		over <- Report(ctx, func() (netip.AddrPort, string, bool) { return address, "n1", true }, nil)
	}()
	if report := readReport(t, roster); report != "HERE n1 on" {
		t.Errorf("heard %q", report)
	}
	roster.Close()
	time.Sleep(3 * reportInterval) // reports that nobody hears
	if roster, err = net.ListenPacket("udp", address.String()); err != nil {
		t.Fatal(err)
	}
	defer roster.Close()
	returned := time.Now()
	readReport(t, roster)
	if took := time.Since(returned); took > 3*time.Second {
		t.Errorf("back on the roster after %v", took)
	}
	stop()
	if err := <-over; err != nil {
		t.Error(err)
	}
}
