// Command valveglade runs an app server and provides commands for its operators. Without a sub-command it serves.
// SIGTERM is its shutdown notice, SIGHUP reloads its configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"valveglade/config"
	"valveglade/server"
)

func main() {
	reload := make(chan os.Signal, 1) // registered first, as SIGHUP would otherwise end the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stderr := openStandardError()
	defer stderr.flush()
	if err := command(reload, stderr).ExecuteContext(ctx); err != nil {
		stderr.fail(err)
		stderr.flush()
		os.Exit(1)
	}
}

// command returns the root command.
func command(reload <-chan os.Signal, stderr standardError) *cobra.Command {
	var settingsPath string
	runServe := func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), reload, settingsPath, stderr) }
	root := &cobra.Command{Use: "valveglade", Short: "an app server with its own admission control", Args: cobra.NoArgs,
		RunE: runServe, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&settingsPath, "settings", "", "the operators' settings file")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "serve until SIGTERM, with the configuration file that GW_CONFIG names",
			Args: cobra.NoArgs, RunE: runServe},
		&cobra.Command{Use: "check", Short: "check the files and show the values that would be in force", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return check(cmd, settingsPath) }},
		&cobra.Command{Use: "sample", Short: "write a settings file with every directive", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { config.Sample(cmd.OutOrStdout()) }},
		fleetCommand(&settingsPath),
		&cobra.Command{Use: "version", Short: "show the version of this build", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) }})
	return root
}

// check reads the files that serve would read. The platform's file is checked only if GW_CONFIG is set.
func check(cmd *cobra.Command, path string) error {
	settings, err := config.ReadSettings(path)
	if err != nil {
		return err
	}
	if os.Getenv("GW_CONFIG") != "" {
		c, err := config.FromEnv()
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "# %s: %s at %s, %d methods\n",
			os.Getenv("GW_CONFIG"), c.Name, c.Listen, len(c.Methods))
	}
	settings.Show(cmd.OutOrStdout())
	return nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "valveglade, build not known"
	}
	revision := "revision not known"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return fmt.Sprintf("valveglade %s, %s, %s", info.Main.Version, revision, info.GoVersion)
}

func serve(ctx context.Context, reload <-chan os.Signal, path string, stderr standardError) error {
	c, err := config.FromEnv()
	if err != nil {
		return err
	}
	settings, err := config.ReadSettings(path)
	if err != nil {
		return err
	}
	s := server.NewWithSettings(c, settings, stderr.logger(c.Name))
	go s.Reload(context.WithoutCancel(ctx), reload, func() (*config.Config, *config.Settings, error) {
		c, err := config.FromEnv()
		if err != nil {
			return nil, nil, err
		}
		settings, err := config.ReadSettings(path)
		return c, settings, err
	})
	return s.Serve(ctx)
}
