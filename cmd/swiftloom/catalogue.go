package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"os"
	"os/user"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomcatalogue"
)

// operatorFlags returns the flags of all commands that call the operators' part
// of the API.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "instance", Usage: "IP:PORT of an instance", Required: true},
		&cli.StringFlag{Name: "operator-key", Usage: "operator key, which the operators' part of the API requires", Sources: cli.EnvVars("SWIFTLOOM_OPERATOR_KEY"), Required: true},
		jsonFlag(),
	}
}

// operatorClient returns a client for the instance and operator key in the flags.
func operatorClient(c *cli.Command) (*apiClient, error) {
	address := c.String("instance")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usageErrorf("--instance: %q is not an IP number with a port", address)
	}
	return &apiClient{address: address, key: c.String("operator-key")}, nil
}

func catalogueCommand() *cli.Command {
	return &cli.Command{
		Name:         "catalogue",
		Usage:        "reads and edits the catalogue",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return usageErrorf("catalogue needs one of get, list, apply, history; not %q", c.Args().First())
		},
		Commands: []*cli.Command{
			newSubcommand(&cli.Command{
				Name:   "list",
				Usage:  "lists the entries",
				Flags:  append(operatorFlags(), &cli.StringFlag{Name: "kind", Usage: "kind of the entries to list (default: all)"}),
				Action: catalogueList,
			}),
			newSubcommand(&cli.Command{
				Name:  "get",
				Usage: "prints one entry",
				Flags: append(operatorFlags(),
					&cli.StringFlag{Name: "kind", Required: true, Usage: "kind of the entry"},
					&cli.StringFlag{Name: "name", Required: true, Usage: "name of the entry"}),
				Action: catalogueGet,
			}),
			newSubcommand(&cli.Command{
				Name:  "apply",
				Usage: "applies the entries of a JSON or INI file as one edit, if the catalogue is at the given revision",
				Flags: append(operatorFlags(),
					&cli.StringFlag{Name: "file", Required: true, Usage: "JSON or INI file with the entries to write"},
					&cli.StringSliceFlag{Name: "delete", Usage: "KIND/NAME of an entry to delete; may be repeated"},
					&cli.Uint64Flag{Name: "revision", Usage: "revision that the edit is based on (default: the current one)"},
					&cli.StringFlag{Name: "operator", Usage: "name of the operator in the audit trail (default: the name of the user)"},
					&cli.StringFlag{Name: "edit-id", Usage: "ID of the edit; repeat a command whose reply was lost with the same ID (default: a random one)"}),
				Action: catalogueApply,
			}),
			newSubcommand(&cli.Command{
				Name:   "history",
				Usage:  "prints the audit trail",
				Flags:  append(operatorFlags(), &cli.Uint64Flag{Name: "after", Usage: "revision after which records are printed (default: 0, all records)"}),
				Action: catalogueHistory,
			}),
		},
	}
}

// fetchCatalogue returns the entries of a kind, or all entries for the empty kind.
func fetchCatalogue(ctx context.Context, c *cli.Command, kind string) (loomcatalogue.Document, error) {
	var doc loomcatalogue.Document
	client, err := operatorClient(c)
	if err != nil {
		return doc, err
	}
	path := "/v1/catalogue"
	if kind != "" {
		path += "?kind=" + url.QueryEscape(kind)
	}
	return doc, client.get(ctx, path, &doc)
}

func catalogueList(ctx context.Context, c *cli.Command) error {
	doc, err := fetchCatalogue(ctx, c, c.String("kind"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(doc)
	}
	fmt.Printf("revision %d\n", doc.Revision)
	t := newTable(os.Stdout)
	t.row("KIND", "NAME", "OWNER", "CLASS")
	for _, e := range doc.Entries {
		var h loomcatalogue.Header
		if err := json.Unmarshal(e.Spec, &h); err != nil {
			return errors.Annotatef(err, "decode entry %s", e.ID)
		}
		t.row(e.Kind, e.Name, h.Owner, h.Class)
	}
	t.flush()
	return nil
}

func catalogueGet(ctx context.Context, c *cli.Command) error {
	doc, err := fetchCatalogue(ctx, c, c.String("kind"))
	if err != nil {
		return err
	}
	for _, e := range doc.Entries {
		if e.Name == c.String("name") {
			return printJSON(e)
		}
	}
	return errors.NotFoundf("%s/%s", c.String("kind"), c.String("name"))
}

// applyRequest is the body of the request that edits the catalogue.
type applyRequest struct {
	Operator     string                 `json:"operator"`
	EditID       string                 `json:"edit_id"`
	BaseRevision uint64                 `json:"base_revision"`
	Changes      []loomcatalogue.Change `json:"changes"`
}

// applyReply is the output of the command: the reply of the instance with the ID
// of the edit.
type applyReply struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
}

func catalogueApply(ctx context.Context, c *cli.Command) error {
	changes, err := readChanges(c)
	if err != nil {
		return err
	}
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	request := applyRequest{Operator: operatorName(c), EditID: c.String("edit-id"), BaseRevision: c.Uint64("revision"), Changes: changes}
	if request.EditID == "" {
		request.EditID = fmt.Sprintf("cli-%016x", rand.Uint64())
	}
	if !c.IsSet("revision") {
		var doc loomcatalogue.Document
		if err := client.get(ctx, "/v1/catalogue?kind=none", &doc); err != nil {
			return err
		}
		request.BaseRevision = doc.Revision
	}
	reply := applyReply{EditID: request.EditID}
	if err := client.post(ctx, "/v1/catalogue", request, &reply); err != nil {
		return errors.Annotatef(err, "apply edit %s", request.EditID)
	}
	if c.Bool("json") {
		return printJSON(reply)
	}
	fmt.Printf("revision %d\n", reply.Revision)
	return nil
}

// readChanges returns the entries of the file and the deletions in the flags.
func readChanges(c *cli.Command) ([]loomcatalogue.Change, error) {
	path := c.String("file")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read catalogue file")
	}
	changes, err := loomcatalogue.ParseFile(path, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, text := range c.StringSlice("delete") {
		kind, name, ok := strings.Cut(text, "/")
		if !ok {
			return nil, usageErrorf("--delete: %q does not have the form KIND/NAME", text)
		}
		changes = append(changes, loomcatalogue.Change{ID: loomcatalogue.ID{Kind: loomcatalogue.Kind(kind), Name: name}})
	}
	return changes, nil
}

// operatorName returns the operator in the flags, or the name of the user.
func operatorName(c *cli.Command) string {
	if name := c.String("operator"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func catalogueHistory(ctx context.Context, c *cli.Command) error {
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	var records []loomcatalogue.Record
	if err := client.get(ctx, fmt.Sprintf("/v1/catalogue/history?after=%d", c.Uint64("after")), &records); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(records)
	}
	t := newTable(os.Stdout)
	t.row("REVISION", "AT", "OPERATOR", "FROM", "CHANGES")
	for _, r := range records {
		t.row(r.Revision, r.At.Format("2006-01-02 15:04:05"), r.Operator, r.BaseRevision, describeChanges(r.Changes))
	}
	t.flush()
	return nil
}

// describeChanges lists the IDs of changed entries, with the prefix + for an added
// one, - for a deleted one and ~ for a modified one.
func describeChanges(changes []loomcatalogue.Recorded) string {
	var parts []string
	for _, c := range changes {
		sign := "~"
		switch {
		case len(c.Before) == 0:
			sign = "+"
		case len(c.After) == 0:
			sign = "-"
		}
		parts = append(parts, sign+c.String())
	}
	return strings.Join(parts, " ")
}
