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

// errNotApplied is returned when changes were refused, after the reasons were printed.
var errNotApplied = errors.New("nothing was changed")

// addConfigCommands adds what operators do with the configuration that the fleet distributes.
func addConfigCommands(fleetCommand *cobra.Command, settingsPath, socket *string, asJSON *bool) {
	find := func() (string, error) {
		view, err := findSocket(*settingsPath, *socket)
		return fleet.ConfigSocket(view), err
	}
	fleetCommand.AddCommand(&cobra.Command{Use: "config", Short: "show version and age of the configuration that the app server here has", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path, err := find()
			if err != nil {
				return err
			}
			return showConfig(cmd.OutOrStdout(), path, *asJSON)
		}})
	fleetCommand.AddCommand(&cobra.Command{Use: "lookup route|tenant SERVICE NAME", Short: "show one entry of the configuration, from wherever it is served",
		Args: cobra.ExactArgs(3), RunE: func(cmd *cobra.Command, args []string) error {
			path, err := find()
			if err != nil {
				return err
			}
			return lookupEntry(cmd.OutOrStdout(), path, args, *asJSON)
		}})
	fleetCommand.AddCommand(&cobra.Command{Use: "apply FILE", Short: "have the changes of a file committed: all of them or none", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := find()
			if err != nil {
				return err
			}
			return applyChanges(cmd.OutOrStdout(), path, args[0], *asJSON)
		}})
}

func showConfig(to io.Writer, socket string, asJSON bool) error {
	status, err := fleet.AskDistribution(socket)
	if err != nil {
		return fmt.Errorf("nobody tells of configuration at %s: %w", socket, err)
	}
	if asJSON {
		return json.NewEncoder(to).Encode(status)
	}
	status.Table(to)
	return nil
}

var entryKinds = map[string]configtable.Kind{"route": configtable.Route, "tenant": configtable.Tenant}

func lookupEntry(to io.Writer, socket string, args []string, asJSON bool) error {
	kind, ok := entryKinds[args[0]]
	if !ok {
		return fmt.Errorf("%q is neither route nor tenant", args[0])
	}
	result, err := fleet.LookupEntry(socket, fleet.EntryLookup{Kind: kind, Service: args[1], Name: args[2]})
	switch {
	case err != nil:
		return fmt.Errorf("nobody tells of configuration at %s: %w", socket, err)
	case asJSON:
		return json.NewEncoder(to).Encode(result)
	case result.Error != "":
		return errors.New(result.Error)
	case !result.Found:
		return fmt.Errorf("no such entry in version %d", result.Version)
	}
	fmt.Fprintf(to, "%s\nversion %d\n", result.Entry, result.Version)
	return nil
}

func applyChanges(to io.Writer, socket, file string, asJSON bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if len(text) > fleet.MaxChangeText {
		return fmt.Errorf("%s: %d bytes, at most %d are taken at a time", file, len(text), fleet.MaxChangeText)
	}
	result, err := fleet.ApplyChanges(socket, file, text)
	switch {
	case err != nil:
		return fmt.Errorf("no answer from %s, whether the changes are in force is not known: %w", socket, err)
	case asJSON:
		if err := json.NewEncoder(to).Encode(result); err != nil {
			return err
		}
	case result.Error == "":
		fmt.Fprintf(to, "version %d of term %d\n", result.Version, result.Term)
	default:
		return errors.New(result.Error)
	}
	if result.Error != "" {
		return errNotApplied
	}
	return nil
}
