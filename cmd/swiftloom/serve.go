package main

import (
	"context"
	"math/rand/v2"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loominstance"
	"swiftloom/loomsettings"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "INI file with the settings of the instance", Required: true}
}

func serveCommand() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:   "serve",
		Usage:  "runs an entry instance until SIGTERM, then drains it",
		Flags:  []cli.Flag{settingsFlag()},
		Action: serve,
	})
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := loomsettings.ReadFile(c.String("settings"))
	if err != nil {
		return errors.Trace(err)
	}
	if s.Instance.MemoryMB > 0 {
		debug.SetMemoryLimit(s.Instance.MemoryMB << 20 / 2)
	}
	log := newLogger(s.Instance.LogLevel)
	instance, err := loominstance.New(s, loominstance.Options{Log: log, Seed: rand.Uint64()})
	if err != nil {
		return errors.Trace(err)
	}
	return instance.Run(ctx)
}
