package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// SendCommands returns a RoleFunc that periodically sends a command to the worker at an address. Each command is one
// line, "ORDER ROLE TERM NUMBER OWNER". The worker replies "ok", or "late TERM" if it has seen a higher term; the
// owner then steps down. The worker has to reject terms below the highest that it has seen: nothing else stops the
// commands of an owner that was paused between checking its lease and sending.
func SendCommands(role, owner, address string, every time.Duration) RoleFunc {
	return func(ctx context.Context, term uint64) error {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		var conn net.Conn
		defer func() {
			if conn != nil {
				conn.Close()
			}
		}()
		for number := 1; ; number++ {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
			if conn == nil {
				dialed, err := (&net.Dialer{Timeout: every + commandTimeout}).DialContext(ctx, "tcp", address)
				if err != nil {
					continue // the worker is unreachable: the next tick dials again
				}
				conn = dialed
			}
			err := sendCommand(conn, fmt.Sprintf("ORDER %s %d %d %s\n", role, term, number, owner), term)
			if staleErr, ok := err.(*StaleTermError); ok {
				return staleErr
			}
			if err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

// commandTimeout limits the wait for the reply to a command.
const commandTimeout = time.Second

func sendCommand(conn net.Conn, line string, term uint64) error {
	conn.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := conn.Write([]byte(line)); err != nil {
		return err
	}
	reply, err := bufio.NewReaderSize(conn, 64).ReadString('\n')
	if err != nil {
		return err
	}
	var knownTerm uint64
	if _, err := fmt.Sscanf(reply, "late %d", &knownTerm); err == nil {
		return &StaleTermError{term, knownTerm}
	}
	if strings.TrimSpace(reply) != "ok" {
		return fmt.Errorf("unexpected reply to a command: %q", reply)
	}
	return nil
}
