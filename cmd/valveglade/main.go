// Command valveglade is one app server. SIGTERM is its notice to leave.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"valveglade/charter"
	"valveglade/server"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "valveglade:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context) error {
	c, err := charter.FromEnv()
	if err != nil {
		return err
	}
	log, err := zap.NewProduction(zap.Fields(zap.String("name", c.Name)))
	if err != nil {
		return err
	}
	return server.New(c, log).Serve(ctx)
}
