package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"valveglade/charter"
	"valveglade/fleet"
	"valveglade/member"
)

// fleetCommand shows the view of the app server that runs here under the same operators' file.
func fleetCommand(bylaws *string) *cobra.Command {
	var asJSON bool
	var socket string
	c := &cobra.Command{Use: "fleet", Short: "show who is in the fleet, as the app server here sees it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shown, err := ask(*bylaws, socket)
			if err != nil {
				return err
			}
			if !asJSON {
				shown.Table(cmd.OutOrStdout())
				return nil
			}
			to := json.NewEncoder(cmd.OutOrStdout())
			to.SetIndent("", " ")
			return to.Encode(shown)
		}}
	c.AddCommand(&cobra.Command{Use: "owners", Short: "show who owns which office, as far as the app server here knows", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shown, err := ask(*bylaws, socket)
			if err != nil {
				return err
			}
			var owners []fleet.Owner
			if shown.Offices != nil {
				if err := json.Unmarshal(shown.Offices, &owners); err != nil {
					return fmt.Errorf("its offices cannot be read: %w", err)
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(owners)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "OFFICE\tOWNER\tTERM\tLEASE LEFT\tSINCE\tLAST REFUSED FOR BEING LATE")
			for _, o := range owners {
				who := cmp.Or(o.Owner, "not known")
				if o.Owns {
					who += " (this one)"
				}
				fmt.Fprintf(t, "%s\t%s\t%d\t%gs\t%s\t%s\n", o.Office, who, o.Term, o.Left, o.Since, o.Late)
			}
			return t.Flush()
		}})
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	c.PersistentFlags().StringVar(&socket, "socket", "", "the local socket, instead of the operators' file's")
	return c
}

// ask finds the local socket, and reads what is told there.
func ask(bylaws, socket string) (member.Shown, error) {
	if socket == "" {
		b, err := charter.ReadBylaws(bylaws)
		if err != nil {
			return member.Shown{}, err
		}
		if socket = b.Fleet.Socket; socket == "" {
			return member.Shown{}, errors.New("no fleet.socket is set: name the operators' file with --settings, or the socket with --socket")
		}
	}
	shown, err := member.Ask(socket)
	if err != nil {
		return shown, fmt.Errorf("nobody answers at %s: %w", socket, err)
	}
	return shown, nil
}
