package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"valveglade/charter"
	"valveglade/member"
)

// fleetCommand shows the view of the app server that runs here under the same operators' file.
func fleetCommand(bylaws *string) *cobra.Command {
	var asJSON bool
	var socket string
	c := &cobra.Command{Use: "fleet", Short: "show who is in the fleet, as the app server here sees it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if socket == "" {
				b, err := charter.ReadBylaws(*bylaws)
				if err != nil {
					return err
				}
				if socket = b.Fleet.Socket; socket == "" {
					return errors.New("no fleet.socket is set: name the operators' file with --settings, or the socket with --socket")
				}
			}
			shown, err := member.Ask(socket)
			if err != nil {
				return fmt.Errorf("nobody answers at %s: %w", socket, err)
			}
			if !asJSON {
				shown.Table(cmd.OutOrStdout())
				return nil
			}
			to := json.NewEncoder(cmd.OutOrStdout())
			to.SetIndent("", " ")
			return to.Encode(shown)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as one JSON object")
	c.Flags().StringVar(&socket, "socket", "", "the local socket, instead of the operators' file's")
	return c
}
