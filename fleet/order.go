package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// Orders is the work of an office that tells somebody outside, again and again, that it is to do something. Each order is a
// line, "ORDER OFFICE TERM NUMBER OWNER"; it is answered "ok", or "late TERM" where a higher term is known: the office is
// given up then. Whoever carries out orders has to refuse terms below the highest that it has seen; that alone keeps out one
// that was stopped between its check and its send.
func Orders(office, owner, address string, every time.Duration) Work {
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
				nc, err := (&net.Dialer{Timeout: every + patience}).DialContext(ctx, "tcp", address)
				if err != nil {
					continue // nobody there: the next order tries again
				}
				to = nc
			}
			err := order(to, fmt.Sprintf("ORDER %s %d %d %s\n", office, term, n, owner), term)
			if late, ok := err.(*Late); ok {
				return late
			}
			if err != nil {
				to.Close()
				to = nil
			}
		}
	}
}

// patience is how long an order's answer is waited for.
const patience = time.Second

func order(to net.Conn, line string, term uint64) error {
	to.SetDeadline(time.Now().Add(patience))
	if _, err := to.Write([]byte(line)); err != nil {
		return err
	}
	answer, err := bufio.NewReaderSize(to, 64).ReadString('\n')
	if err != nil {
		return err
	}
	var known uint64
	if _, err := fmt.Sscanf(answer, "late %d", &known); err == nil {
		return &Late{term, known}
	}
	if strings.TrimSpace(answer) != "ok" {
		return fmt.Errorf("an order was answered %q", answer)
	}
	return nil
}
