package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// SendCommands returns a RoleFunc that tells somebody outside, again and again, to do something. Each command is a
// line, "ORDER ROLE TERM NUMBER OWNER"; it is answered "ok", or "late TERM" where a higher term is known: the owner steps
// down then. Whoever carries out commands has to reject terms below the highest that it has seen; that alone keeps out one
// that was stopped between its check and its send.
func SendCommands(role, owner, address string, every time.Duration) RoleFunc {
	return func(ctx context.Context, term uint64) error {
		tick := time.NewTicker(every)
		defer tick.Stop()
		var to net.Conn
		defer func() {
			if to != nil {
				to.Close()
			}
		}()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
			}
			if to == nil {
				nc, err := (&net.Dialer{Timeout: every + commandTimeout}).DialContext(ctx, "tcp", address)
				if err != nil {
					continue // nobody there: the next command tries again
				}
				to = nc
			}
			err := sendCommand(to, fmt.Sprintf("ORDER %s %d %d %s\n", role, term, n, owner), term)
			if staleErr, ok := err.(*StaleTermError); ok {
				return staleErr
			}
			if err != nil {
				to.Close()
				to = nil
			}
		}
	}
}

// commandTimeout is how long a command's answer is waited for.
const commandTimeout = time.Second

func sendCommand(to net.Conn, line string, term uint64) error {
	to.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := to.Write([]byte(line)); err != nil {
		return err
	}
	answer, err := bufio.NewReaderSize(to, 64).ReadString('\n')
	if err != nil {
		return err
	}
	var known uint64
	if _, err := fmt.Sscanf(answer, "late %d", &known); err == nil {
		return &StaleTermError{term, known}
	}
	if strings.TrimSpace(answer) != "ok" {
		return fmt.Errorf("a command was answered %q", answer)
	}
	return nil
}
