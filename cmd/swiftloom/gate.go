package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"swiftloom/platform"
)

func gateCommand() *cli.Command {
	c := newSubcommand(&cli.Command{
		Name:   "gate",
		Usage:  "runs an entry instance on the users' platform until SIGTERM, then drains it",
		Action: func(ctx context.Context, _ *cli.Command) error { return platform.Run(ctx) },
	})
	// SIGHUP makes it check its settings.
	c.Before = nil
	return c
}
