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

// fleetCommand shows the view of the app server that runs here under the same operators' file.
func fleetCommand(settingsPath *string) *cobra.Command {
	var asJSON bool
	var socket string
	c := &cobra.Command{Use: "fleet", Short: "show who is in the fleet, as the app server here sees it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shown, err := ask(*settingsPath, socket)
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
	// part shows one part of what is told beside the view.
	part := func(use, short string, show func(to io.Writer, s fleet.Status) any) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			shown, err := ask(*settingsPath, socket)
			if err != nil {
				return err
			}
			var s fleet.Status
			if shown.Roles != nil {
				if err := json.Unmarshal(shown.Roles, &s); err != nil {
					return fmt.Errorf("what it tells cannot be read: %w", err)
				}
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(show(io.Discard, s))
			}
			show(t, s)
			return t.Flush()
		}})
	}
	part("owners", "show who owns which role, as far as the app server here knows", func(to io.Writer, s fleet.Status) any {
		fmt.Fprintln(to, "ROLE\tOWNER\tTERM\tLEASE LEFT\tSINCE\tLAST REJECTION")
		for _, o := range s.Roles {
			who := cmp.Or(o.Owner, "not known")
			if o.Owns {
				who += " (this one)"
			}
			fmt.Fprintf(to, "%s\t%s\t%d\t%gs\t%s\t%s\n", o.Role, who, o.Term, o.Left, o.Since, o.LastRejection)
		}
		return s.Roles
	})
	part("shares", "show the fleet's common limits: what this app server has of them and, on the allocator, what everybody has",
		func(to io.Writer, s fleet.Status) any {
			fmt.Fprintln(to, "SHARE\tAPP SERVER\tLIMIT\tRESERVED\tGRANTED\tRUNNING\tWAITING\tENDS IN\tREMARKS")
			for _, one := range s.Shares {
				limit := "-"
				if one.Limit > 0 {
					limit = fmt.Sprint(one.Limit)
				}
				fmt.Fprintf(to, "%s\tthis one\t%s\t%d\t%d\t%d\t%d\t%gs\tallocated by %s\n", one.Name, limit, one.Reserved, one.Granted, one.Running,
					one.Waiting, one.Left, cmp.Or(one.Allocator, "nobody known"))
				for _, h := range one.Holders {
					fmt.Fprintf(to, "%s\t%s\t\t\t%d\t%d\t%d\t%gs\thas at most %d, asked %gs ago\n", one.Name, h.Name, h.Given, h.Uses,
						max(h.Wants-h.Uses, 0), h.Left, h.Had, h.Heard)
				}
			}
			return s.Shares
		})
	addConfigCommands(c, settingsPath, &socket, &asJSON)
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	c.PersistentFlags().StringVar(&socket, "socket", "", "the local socket, instead of the operators' file's")
	return c
}

// ask finds the local socket, and reads what is told there.
func ask(settingsPath, socket string) (member.Status, error) {
	socket, err := findSocket(settingsPath, socket)
	if err != nil {
		return member.Status{}, err
	}
	shown, err := member.ReadStatus(socket)
	if err != nil {
		return shown, fmt.Errorf("nobody answers at %s: %w", socket, err)
	}
	return shown, nil
}

// findSocket gives the local socket of the view: the one that is named, or that of the operators' file.
func findSocket(settingsPath, socket string) (string, error) {
	if socket != "" {
		return socket, nil
	}
	settings, err := config.ReadSettings(settingsPath)
	if err != nil {
		return "", err
	}
	if settings.Fleet.Socket == "" {
		return "", errors.New("no fleet.socket is set: name the operators' file with --settings, or the socket with --socket")
	}
	return settings.Fleet.Socket, nil
}
