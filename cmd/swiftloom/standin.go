package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
	"swiftloom/loomstandin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:         "standin",
		Usage:        "runs a stand-in for an external system: platform, engine, store or service",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return usageErrorf("standin needs one of platform, engine, store, service; not %q", c.Args().First())
		},
		Commands: []*cli.Command{standinPlatform(), standinEngine(), standinStore(), standinService()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:PORT to listen on; port 0 selects a free port"}
}

// memberFlags returns the flags of stand-ins that announce themselves to the
// platform.
func memberFlags(group string) []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "id", Required: true, Usage: "ID in the platform's list of members"},
		&cli.StringFlag{Name: "group", Value: group, Usage: "name of the upstream group"},
		&cli.StringFlag{Name: "failure-domain", Required: true, Usage: "name of the failure domain"},
		&cli.StringFlag{Name: "platform", Required: true, Usage: "IP:PORT of the platform"},
	}
}

// checkAddresses checks that the named flags hold an IP address and a port.
func checkAddresses(c *cli.Command, names ...string) error {
	for _, name := range names {
		if _, err := netip.ParseAddrPort(c.String(name)); err != nil {
			return usageErrorf("--%s: %q is not an IP number with a port", name, c.String(name))
		}
	}
	return nil
}

func standinPlatform() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "platform",
		Usage: "runs a platform: transactional table, object store, list of members and weights",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "list-lag", Value: 300 * time.Millisecond, Usage: "time until a change of the list of members becomes visible"},
			&cli.IntFlag{Name: "load-limit", Value: 2, Usage: "number of engines that can load weights at the same time at full speed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random numbers"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkAddresses(c, "listen"); err != nil {
				return err
			}
			p, err := loomstandin.NewPlatform(loomstandin.PlatformOptions{
				Address:   c.String("listen"),
				Seed:      c.Uint64("seed"),
				ListLag:   c.Duration("list-lag"),
				LoadLimit: c.Int("load-limit"),
			})
			if err != nil {
				return errors.Trace(err)
			}
			defer p.Close()
			fmt.Println(p.Address())
			<-ctx.Done()
			return nil
		},
	})
}

// announceUntilDone prints the address of a member and announces it to the
// platform until ctx is done.
func announceUntilDone(ctx context.Context, c *cli.Command, member func() *loompb.Member, announce func(context.Context, loomstandin.Announcer)) error {
	p, err := loomplatform.Open("grpc", loomplatform.Options{Addresses: []string{c.String("platform")}})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = p.Close() }()
	fmt.Println(member().GetAddress())
	announce(ctx, p)
	return nil
}

func standinEngine() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "engine",
		Usage: "runs a model engine",
		Flags: append(memberFlags("engines"),
			&cli.StringFlag{Name: "model", Required: true, Usage: "name of the model that the engine serves"},
			&cli.Uint64Flag{Name: "model-version", Value: 1, Usage: "version of the weights at the start"},
			&cli.DurationFlag{Name: "prefill-per-token", Value: 40 * time.Microsecond, Usage: "time to process one prompt token"},
			&cli.DurationFlag{Name: "step-time", Value: 4 * time.Millisecond, Usage: "time of one decoding step"},
			&cli.IntFlag{Name: "cache-blocks", Value: 640, Usage: "capacity of the KV cache in blocks"},
			&cli.IntFlag{Name: "block-bytes", Value: 128 << 10, Usage: "size of the KV cache of one block in bytes"},
			&cli.DurationFlag{Name: "report-lag", Value: 100 * time.Millisecond, Usage: "minimum age of the load figures in reports"},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "accept orders with an outdated fencing token"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random numbers"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkAddresses(c, "listen", "platform"); err != nil {
				return err
			}
			conn, err := loomplatform.Dial(c.String("platform"), nil)
			if err != nil {
				return errors.Trace(err)
			}
			defer func() { _ = conn.Close() }()
			e, err := loomstandin.NewEngine(loomstandin.EngineOptions{
				ID:              c.String("id"),
				Group:           c.String("group"),
				FailureDomain:   c.String("failure-domain"),
				Address:         c.String("listen"),
				Model:           c.String("model"),
				Version:         c.Uint64("model-version"),
				Seed:            c.Uint64("seed"),
				PrefillPerToken: c.Duration("prefill-per-token"),
				StepTime:        c.Duration("step-time"),
				CacheBlocks:     c.Int("cache-blocks"),
				BlockBytes:      c.Int("block-bytes"),
				ReportLag:       c.Duration("report-lag"),
				IgnoreFencing:   c.Bool("ignore-fencing"),
				Weights:         loompb.NewPlatformClient(conn),
			})
			if err != nil {
				return errors.Trace(err)
			}
			defer e.Kill()
			return announceUntilDone(ctx, c, e.Member, e.Announce)
		},
	})
}

func standinStore() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "store",
		Usage: "runs a KV cache store",
		Flags: append(memberFlags("stores"),
			&cli.Int64Flag{Name: "memory-bytes", Value: 1 << 30, Usage: "capacity of the memory in bytes"},
			&cli.Int64Flag{Name: "disk-bytes", Value: 4 << 30, Usage: "capacity of the disk in bytes"},
			&cli.Int64Flag{Name: "bytes-per-second", Value: 256 << 20, Usage: "bandwidth of the network link in bytes per second"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkAddresses(c, "listen", "platform"); err != nil {
				return err
			}
			s, err := loomstandin.NewStore(loomstandin.StoreOptions{
				ID:             c.String("id"),
				Group:          c.String("group"),
				FailureDomain:  c.String("failure-domain"),
				Address:        c.String("listen"),
				MemoryBytes:    c.Int64("memory-bytes"),
				DiskBytes:      c.Int64("disk-bytes"),
				BytesPerSecond: c.Int64("bytes-per-second"),
			})
			if err != nil {
				return errors.Trace(err)
			}
			defer s.Kill()
			return announceUntilDone(ctx, c, s.Member, s.Announce)
		},
	})
}

func standinService() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "service",
		Usage: "runs a plain service that counts how often it executes each request",
		Flags: append(memberFlags("services"), &cli.DurationFlag{Name: "work-time", Value: 15 * time.Millisecond, Usage: "time to execute a request"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkAddresses(c, "listen", "platform"); err != nil {
				return err
			}
			s, err := loomstandin.NewService(loomstandin.ServiceOptions{
				ID:            c.String("id"),
				Group:         c.String("group"),
				FailureDomain: c.String("failure-domain"),
				Address:       c.String("listen"),
				WorkTime:      c.Duration("work-time"),
			}, loomstandin.NewRunCounter())
			if err != nil {
				return errors.Trace(err)
			}
			defer s.Kill()
			return announceUntilDone(ctx, c, s.Member, s.Announce)
		},
	})
}
