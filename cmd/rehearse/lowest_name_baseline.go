package main

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"valveglade/fleet"
	"valveglade/logic/owner"
	"valveglade/logic/view"
	"valveglade/member"
)

// lowestNameCommand returns the sub-command that is the baseline of the owner experiment: a process is the owner while its name
// is the lowest in its own view, without terms and voters, and sends the same orders as the program. With voters, it campaigns
// like the program, with a clock that drifts.
func lowestNameCommand() *cobra.Command {
	var name, listen, advertise, join, workerAddress string
	var voters []string
	var rate, drift float64
	command := &cobra.Command{Use: "lowest", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		memberConfig := member.Config{Name: name, Listen: netip.MustParseAddrPort(listen),
			Advertise: netip.MustParseAddrPort(advertise),
			Allow:     []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, ProbeInterval: 300 * time.Millisecond, View: view.Defaults()}
		for _, a := range strings.Split(join, ",") {
			memberConfig.Join = append(memberConfig.Join, netip.MustParseAddrPort(a))
		}
		log, err := zap.NewProduction(zap.ErrorOutput(zap.CombineWriteSyncers(os.Stderr)))
		if err != nil {
			return err
		}
		node, err := member.New(memberConfig, log)
		if err != nil {
			return err
		}
		node.UpdateState(view.Serving, false, view.Load{})
		go node.Run(cmd.Context())
		if len(voters) > 0 {
			startedAt := time.Now()
			lease := experimentLease.Seconds()
			fleetNode, err := fleet.New(fleet.Config{Name: name, Voters: [][]string{voters},
				Timing: owner.Timing{Lease: lease, Drift: drift, Margin: lease / 10},
				Clock:  func() float64 { return rate * time.Since(startedAt).Seconds() }}, node, log)
			if err != nil {
				return err
			}
			if err := fleetNode.Campaign("o", fleet.SendCommands("o", name, workerAddress, orderInterval)); err != nil {
				return err
			}
			return fleetNode.Run(cmd.Context())
		}
		changes, stop := node.Changes()
		defer stop()
		startSending := func() context.CancelFunc {
			ctx, cancel := context.WithCancel(cmd.Context())
			go fleet.SendCommands("o", name, workerAddress, orderInterval)(ctx, 0)
			return cancel
		}
		stopSending := func() {}
		isOwner := false
		for range changes {
			current := node.View()
			if isLowest := current.Members[0].Name == name && current.Certainty <= view.Partitioned; isLowest != isOwner {
				if isOwner = isLowest; !isOwner {
					stopSending()
					continue
				}
				stopSending = startSending()
			}
		}
		return nil
	}}
	command.Flags().StringVar(&name, "name", "", "")
	command.Flags().StringVar(&listen, "listen", "", "")
	command.Flags().StringVar(&advertise, "advertise", "", "")
	command.Flags().StringVar(&join, "join", "", "")
	command.Flags().StringVar(&workerAddress, "order", "", "")
	command.Flags().StringSliceVar(&voters, "voters", nil, "")
	command.Flags().Float64Var(&rate, "rate", 1, "")
	command.Flags().Float64Var(&drift, "drift", 0, "")
	return command
}

// orderInterval is the interval at which owners send orders in an experiment.
const orderInterval = 20 * time.Millisecond
