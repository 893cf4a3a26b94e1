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

// lowestCommand is the baseline of ownership: whoever sees itself as the lowest name of its own view is the owner, without
// terms and voters, and sends the same commands. With voters it campaigns as the program does, by a clock that drifts.
func lowestNameCommand() *cobra.Command {
	var name, listen, advertise, join, order string
	var voters []string
	var rate, drift float64
	c := &cobra.Command{Use: "lowest", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		p := member.Config{Name: name, Listen: netip.MustParseAddrPort(listen), Advertise: netip.MustParseAddrPort(advertise),
			Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, ProbeInterval: 300 * time.Millisecond, View: view.Defaults()}
		for _, a := range strings.Split(join, ",") {
			p.Join = append(p.Join, netip.MustParseAddrPort(a))
		}
		log, err := zap.NewProduction(zap.ErrorOutput(zap.CombineWriteSyncers(os.Stderr)))
		if err != nil {
			return err
		}
		m, err := member.New(p, log)
		if err != nil {
			return err
		}
		m.UpdateState(view.Serving, false, view.Load{})
		go m.Run(cmd.Context())
		if len(voters) > 0 {
			began := time.Now()
			lease := experimentLease.Seconds()
			f, err := fleet.New(fleet.Config{Name: name, Voters: [][]string{voters}, Timing: owner.Timing{Lease: lease, Drift: drift, Margin: lease / 10},
				Clock: func() float64 { return rate * time.Since(began).Seconds() }}, m, log)
			if err != nil {
				return err
			}
			if err := f.Campaign("o", fleet.SendCommands("o", name, order, commandInterval)); err != nil {
				return err
			}
			return f.Run(cmd.Context())
		}
		changes, stop := m.Changes()
		defer stop()
		begin := func() context.CancelFunc {
			ctx, end := context.WithCancel(cmd.Context())
			go fleet.SendCommands("o", name, order, commandInterval)(ctx, 0)
			return end
		}
		end := func() {}
		owns := false
		for range changes {
			v := m.View()
			if lowest := v.Members[0].Name == name && v.Certainty <= view.Partitioned; lowest != owns {
				if owns = lowest; !owns {
					end()
					continue
				}
				end = begin()
			}
		}
		return nil
	}}
	c.Flags().StringVar(&name, "name", "", "")
	c.Flags().StringVar(&listen, "listen", "", "")
	c.Flags().StringVar(&advertise, "advertise", "", "")
	c.Flags().StringVar(&join, "join", "", "")
	c.Flags().StringVar(&order, "order", "", "")
	c.Flags().StringSliceVar(&voters, "voters", nil, "")
	c.Flags().Float64Var(&rate, "rate", 1, "")
	c.Flags().Float64Var(&drift, "drift", 0, "")
	return c
}

// orderEvery is how often owners send orders in an experiment.
const commandInterval = 20 * time.Millisecond
