// Command swiftloom serves language-model prompts whose prefixes recur after long
// gaps. Its subcommands run instances, validate settings, edit the catalogue,
// analyse logs, generate load and run stand-ins for external systems.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomsignal"
)

// Exit statuses of the command.
const (
	exitFailure = 1
	// exitUsage is the status after errors in the arguments, except for a missing
	// required flag, after which the status is exitFailure.
	exitUsage = 2
)

// errUsage is the cause of all errors in the arguments.
var errUsage = errors.New("usage")

func main() {
	os.Exit(run(os.Args))
}

// run executes a command line until it ends, SIGINT or SIGTERM, and returns the
// exit status.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "swiftloom:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailure
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:           "swiftloom",
		Usage:          "serves language-model prompts whose prefixes recur after long gaps",
		Commands:       []*cli.Command{serveCommand(), gateCommand(), checkCommand(), catalogueCommand(), statusCommand(), explainCommand(), loadCommand(), tryCommand(), standinCommand()},
		OnUsageError:   usageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageErrorf("unknown command %q", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

// usageError marks errors of the flag parser with the cause errUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Wrap(err, errors.Annotate(errUsage, err.Error()))
}

// usageErrorf returns an error with the cause errUsage.
func usageErrorf(format string, args ...any) error {
	return errors.Annotatef(errUsage, format, args...)
}

// newSubcommand adds to c what all subcommands have in common: their handling of
// usage errors, and an action that rejects positional arguments.
func newSubcommand(c *cli.Command) *cli.Command {
	c.OnUsageError = usageError
	c.HideHelpCommand = true
	c.Before = endOnHangup
	action := c.Action
	if action == nil {
		return c
	}
	c.Action = func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return usageErrorf("unexpected argument %q", cmd.Args().First())
		}
		return action(ctx, cmd)
	}
	return c
}

// endOnHangup lets SIGHUP end a command.
func endOnHangup(ctx context.Context, _ *cli.Command) (context.Context, error) {
	loomsignal.EndOnHangup()
	return ctx, nil
}
