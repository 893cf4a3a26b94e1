package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"valveglade/fleet"
	"valveglade/logic/configtable"
)

// errNotApplied is returned when changes were rejected, after the reasons have been printed.
var errNotApplied = errors.New("nothing was changed")

// addConfigCommands adds the commands for the configuration that the fleet distributes.
func addConfigCommands(fleetCommand *cobra.Command, settingsPath, socket *string, asJSON *bool) {
	findConfigSocket := func() (string, error) {
		viewSocket, err := findSocket(*settingsPath, *socket)
		return fleet.ConfigSocket(viewSocket), err
	}
	fleetCommand.AddCommand(&cobra.Command{Use: "config",
		Short: "show version and age of the configuration of the local app server", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path, err := findConfigSocket()
			if err != nil {
				return err
			}
			return showConfig(cmd.OutOrStdout(), path, *asJSON)
		}})
	fleetCommand.AddCommand(&cobra.Command{Use: "lookup route|tenant SERVICE NAME",
		Short: "show one entry of the configuration, asking other members if it is not stored locally",
		Args:  cobra.ExactArgs(3), RunE: func(cmd *cobra.Command, args []string) error {
			path, err := findConfigSocket()
			if err != nil {
				return err
			}
			return lookupEntry(cmd.OutOrStdout(), path, args, *asJSON)
		}})
	fleetCommand.AddCommand(&cobra.Command{Use: "apply FILE",
		Short: "commit the changes in a file: all of them or none", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := findConfigSocket()
			if err != nil {
				return err
			}
			return applyChanges(cmd.OutOrStdout(), path, args[0], *asJSON)
		}})
}

func showConfig(w io.Writer, socket string, asJSON bool) error {
	status, err := fleet.AskDistribution(socket)
	if err != nil {
		return fmt.Errorf("no configuration status from %s: %w", socket, err)
	}
	if asJSON {
		return json.NewEncoder(w).Encode(status)
	}
	status.Table(w)
	return nil
}

var entryKinds = map[string]configtable.Kind{"route": configtable.Route, "tenant": configtable.Tenant}

func lookupEntry(w io.Writer, socket string, args []string, asJSON bool) error {
	kind, ok := entryKinds[args[0]]
	if !ok {
		return fmt.Errorf("%q is neither route nor tenant", args[0])
	}
	result, err := fleet.LookupEntry(socket, fleet.EntryLookup{Kind: kind, Service: args[1], Name: args[2]})
	switch {
	case err != nil:
		return fmt.Errorf("cannot look up the entry at %s: %w", socket, err)
	case asJSON:
		return json.NewEncoder(w).Encode(result)
	case result.Error != "":
		return errors.New(result.Error)
	case !result.Found:
		return fmt.Errorf("no such entry in version %d", result.Version)
	}
	fmt.Fprintf(w, "%s\nversion %d\n", result.Entry, result.Version)
	return nil
}

func applyChanges(w io.Writer, socket, file string, asJSON bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if len(text) > fleet.MaxChangeText {
		return fmt.Errorf("%s: %d bytes exceed the limit of %d for one file of changes", file, len(text), fleet.MaxChangeText)
	}
	result, err := fleet.ApplyChanges(socket, file, text)
	switch {
	case err != nil:
		return fmt.Errorf("no reply from %s, the changes may or may not be in force: %w", socket, err)
	case asJSON:
		if err := json.NewEncoder(w).Encode(result); err != nil {
			return err
		}
	case result.Error == "":
		fmt.Fprintf(w, "version %d of term %d\n", result.Version, result.Term)
	default:
		return errors.New(result.Error)
	}
	if result.Error != "" {
		return errNotApplied
	}
	return nil
}
