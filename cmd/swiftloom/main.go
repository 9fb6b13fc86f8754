// Command swiftloom serves language-model prompts that return after long gaps.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// The exit statuses of the command.
const (
	statusFailed = 1
	statusUsage  = 2
)

// errUsage is the cause of errors in the arguments.
var errUsage = errors.New("usage")

func main() {
	os.Exit(run(os.Args))
}

// run carries out a command line and returns the exit status.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "swiftloom:", err)
	if errors.Is(err, errUsage) {
		return statusUsage
	}
	return statusFailed
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:           "swiftloom",
		Usage:          "serves language-model prompts that return after long gaps",
		Commands:       []*cli.Command{serveCommand(), gateCommand(), checkCommand(), catalogueCommand(), statusCommand(), explainCommand(), loadCommand(), tryCommand(), standinCommand()},
		OnUsageError:   usageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usagef("unknown command %q", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Wrap(err, errors.Annotate(errUsage, err.Error()))
}

func usagef(format string, args ...any) error {
	return errors.Annotatef(errUsage, format, args...)
}

// command fills in what all subcommands have in common.
func command(c *cli.Command) *cli.Command {
	c.OnUsageError = usageError
	c.HideHelpCommand = true
	action := c.Action
	if action == nil {
		return c
	}
	c.Action = func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return usagef("unexpected argument %q", cmd.Args().First())
		}
		return action(ctx, cmd)
	}
	return c
}
