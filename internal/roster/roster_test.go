package roster

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds the wait for events that must happen.
const testTimeout = 20 * time.Second

// readReport reads one report.
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

// Reports start once a descriptor for their socket is available, and continue after an outage of the roster.
func TestReportOutages(t *testing.T) {
	failures := 2
	original := listenUDP
	defer func() { listenUDP = original }()
	listenUDP = func() (*net.UDPConn, error) {
		if failures > 0 {
			failures--
			return nil, &net.OpError{Op: "listen", Err: syscall.EMFILE}
		}
		return original()
	}
	roster, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(roster.LocalAddr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- Report(ctx, func() (netip.AddrPort, string, bool) { return address, "n1", true }, nil)
	}()
	if report := readReport(t, roster); report != "HERE n1 on" {
		t.Errorf("received %q", report)
	}
	roster.Close()
	time.Sleep(3 * reportInterval) // reports that are lost
	if roster, err = net.ListenPacket("udp", address.String()); err != nil {
		t.Fatal(err)
	}
	defer roster.Close()
	restartedAt := time.Now()
	readReport(t, roster)
	if took := time.Since(restartedAt); took > 3*time.Second {
		t.Errorf("back on the roster after %v", took)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
