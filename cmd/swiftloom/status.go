package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"swiftloom/loominstance"
)

func statusCommand() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:   "status",
		Usage:  "prints the state of an instance and its view of members, links and quotas",
		Flags:  operatorFlags(),
		Action: status,
	})
}

func status(ctx context.Context, c *cli.Command) error {
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	var s loominstance.Status
	if err := client.get(ctx, "/v1/status", &s); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	printStatus(s)
	return nil
}

func printStatus(s loominstance.Status) {
	state := "serving"
	if s.Stopping {
		state = "draining"
	}
	fmt.Printf("%s in %s: %s, %d requests in flight, %d queued\n", s.Instance, s.FailureDomain, state, s.InFlight, s.Queued)
	fmt.Printf("catalogue revision %d, received %.0f s ago\n", s.CatalogueRevision, s.CatalogueAge)
	lease := "held by " + s.Reconciler.Holder
	if s.Reconciler.Held {
		lease = fmt.Sprintf("held by this instance with fencing token %d", s.Reconciler.Token)
	}
	fmt.Printf("reconciler lease of the failure domain: %s\n", lease)
	fmt.Printf("KV cache index: home of %d segments, %d of %d blocks stored, %d MiB\n", s.Kept.Trees, s.Kept.Stored, s.Kept.Blocks, s.Kept.StoredBytes>>20)
	fmt.Printf("claims: %d in %d writes\n\n", s.Claims.Claims, s.Claims.Writes)
	t := newTable(os.Stdout)
	t.row("MEMBER", "KIND", "DOMAIN", "STATE", "WHY", "VERSION", "WAIT_MS", "OUTSTANDING")
	for _, m := range s.Members {
		version := fmt.Sprint(m.Version)
		if m.Loading > 0 {
			version += fmt.Sprintf(" (loading %d)", m.Loading)
		}
		t.row(m.ID, m.Kind, m.FailureDomain, m.State, m.Reason, version, fmt.Sprintf("%.1f", m.WaitMS), m.Outstanding)
	}
	t.flush()
	fmt.Println()
	t = newTable(os.Stdout)
	t.row("LINK TO STORE", "WAIT_MS", "USED_MIB", "CAPACITY_MIB")
	for _, l := range s.Links {
		t.row(l.Store, fmt.Sprintf("%.1f", l.WaitMS), l.Used>>20, l.Capacity>>20)
	}
	t.flush()
	fmt.Println()
	t = newTable(os.Stdout)
	t.row("CLIENT ACCOUNT (HOME HERE)", "DEMAND_PER_S", "FLOOR_PER_S", "BORROWED_PER_S", "LENDER")
	for _, q := range s.Quotas {
		t.row(q.ClientAccount, fmt.Sprintf("%.0f", q.Demand), fmt.Sprintf("%.0f", q.Floor), fmt.Sprintf("%.0f", q.Borrowed), q.Lender)
	}
	t.flush()
}
