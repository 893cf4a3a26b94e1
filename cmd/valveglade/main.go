// Command valveglade is one app server. SIGTERM is its notice to leave, SIGHUP has it read its
// configuration again.
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
	reload := make(chan os.Signal, 1) // before all else: without it SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, reload); err != nil {
		fmt.Fprintln(os.Stderr, "valveglade:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, reload <-chan os.Signal) error {
	c, err := charter.FromEnv()
	if err != nil {
		return err
	}
	log, err := zap.NewProduction(zap.Fields(zap.String("name", c.Name)))
	if err != nil {
		return err
	}
	s := server.New(c, log)
	go s.Reload(context.WithoutCancel(ctx), reload, charter.FromEnv)
	return s.Serve(ctx)
}
