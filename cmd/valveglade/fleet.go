package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"valveglade/config"
	"valveglade/fleet"
	"valveglade/member"
)

// fleetCommand shows the fleet as seen by the app server that runs on this machine with the same settings file.
func fleetCommand(settingsPath *string) *cobra.Command {
	var asJSON bool
	var socket string
	c := &cobra.Command{Use: "fleet",
		Short: "show the members of the fleet, as seen by the local app server", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := readStatus(*settingsPath, socket)
			if err != nil {
				return err
			}
			if !asJSON {
				status.Table(cmd.OutOrStdout())
				return nil
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", " ")
			return encoder.Encode(status)
		}}
	// addSubcommand adds a command that shows one part of the status.
	addSubcommand := func(use, short string, show func(w io.Writer, fleetStatus fleet.Status) any) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				status, err := readStatus(*settingsPath, socket)
				if err != nil {
					return err
				}
				var fleetStatus fleet.Status
				if status.Roles != nil {
					if err := json.Unmarshal(status.Roles, &fleetStatus); err != nil {
						return fmt.Errorf("the status of the fleet is invalid: %w", err)
					}
				}
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				if asJSON {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(show(io.Discard, fleetStatus))
				}
				show(table, fleetStatus)
				return table.Flush()
			}})
	}
	addSubcommand("owners", "show the owner of each role, as known to the local app server",
		func(w io.Writer, fleetStatus fleet.Status) any {
			fmt.Fprintln(w, "ROLE\tOWNER\tTERM\tLEASE LEFT\tSINCE\tLAST REJECTION")
			for _, role := range fleetStatus.Roles {
				owner := cmp.Or(role.Owner, "not known")
				if role.Owns {
					owner += " (this one)"
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%gs\t%s\t%s\n", role.Role, owner, role.Term, role.Left, role.Since, role.LastRejection)
			}
			return fleetStatus.Roles
		})
	addSubcommand("shares", "show the shared limits: permits of this app server and, on the allocator, of all members",
		func(w io.Writer, fleetStatus fleet.Status) any {
			fmt.Fprintln(w, "SHARE\tAPP SERVER\tLIMIT\tRESERVED\tGRANTED\tRUNNING\tWAITING\tENDS IN\tREMARKS")
			for _, share := range fleetStatus.Shares {
				limit := "-"
				if share.Limit > 0 {
					limit = fmt.Sprint(share.Limit)
				}
				fmt.Fprintf(w, "%s\tthis one\t%s\t%d\t%d\t%d\t%d\t%gs\tallocated by %s\n",
					share.Name, limit, share.Reserved, share.Granted, share.Running, share.Waiting, share.Left,
					cmp.Or(share.Allocator, "nobody known"))
				for _, holder := range share.Holders {
					fmt.Fprintf(w, "%s\t%s\t\t\t%d\t%d\t%d\t%gs\thas at most %d, asked %gs ago\n",
						share.Name, holder.Name, holder.Given, holder.Uses, max(holder.Wants-holder.Uses, 0),
						holder.Left, holder.MaxHeld, holder.SinceRequest)
				}
			}
			return fleetStatus.Shares
		})
	addConfigCommands(c, settingsPath, &socket, &asJSON)
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	c.PersistentFlags().StringVar(&socket, "socket", "", "the local socket, instead of the one in the settings file")
	return c
}

// readStatus finds the local socket and reads the status of the fleet from it.
func readStatus(settingsPath, socket string) (member.Status, error) {
	socket, err := findSocket(settingsPath, socket)
	if err != nil {
		return member.Status{}, err
	}
	status, err := member.ReadStatus(socket)
	if err != nil {
		return status, fmt.Errorf("no status of the fleet from %s: %w", socket, err)
	}
	return status, nil
}

// findSocket returns the path of the local socket: the given one, or that of the settings file.
func findSocket(settingsPath, socket string) (string, error) {
	if socket != "" {
		return socket, nil
	}
	settings, err := config.ReadSettings(settingsPath)
	if err != nil {
		return "", err
	}
	if settings.Fleet.Socket == "" {
		return "", errors.New("no fleet.socket is set: pass the settings file with --settings or the socket with --socket")
	}
	return settings.Fleet.Socket, nil
}
