package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"swiftloom/platform"
)

func gateCommand() *cli.Command {
	return command(&cli.Command{
		Name:   "gate",
		Usage:  "runs one entry instance on the users' platform until SIGTERM, then drains",
		Action: func(ctx context.Context, _ *cli.Command) error { return platform.Run(ctx) },
	})
}
