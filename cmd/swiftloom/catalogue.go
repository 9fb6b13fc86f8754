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

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "instance", Usage: "IP:PORT of an instance", Required: true},
		&cli.StringFlag{Name: "operator-key", Usage: "key of the operators' part of the API", Sources: cli.EnvVars("SWIFTLOOM_OPERATOR_KEY"), Required: true},
		jsonFlag(),
	}
}

// operatorClient returns a client of the instance that the flags name.
func operatorClient(c *cli.Command) (*apiClient, error) {
	address := c.String("instance")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usagef("--instance: %q is not an IP number with a port", address)
	}
	return &apiClient{address: address, key: c.String("operator-key")}, nil
}

func catalogueCommand() *cli.Command {
	return &cli.Command{
		Name:         "catalogue",
		Usage:        "reads and edits the catalogue",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			return usagef("catalogue needs one of get, list, apply, history; not %q", c.Args().First())
		},
		Commands: []*cli.Command{
			command(&cli.Command{
				Name:   "list",
				Usage:  "lists the entries",
				Flags:  append(operatorFlags(), &cli.StringFlag{Name: "kind", Usage: "only entries of this kind"}),
				Action: catalogueList,
			}),
			command(&cli.Command{
				Name:  "get",
				Usage: "prints one entry",
				Flags: append(operatorFlags(),
					&cli.StringFlag{Name: "kind", Required: true},
					&cli.StringFlag{Name: "name", Required: true}),
				Action: catalogueGet,
			}),
			command(&cli.Command{
				Name:  "apply",
				Usage: "makes an edit from a JSON or INI file, by compare-and-set on the revision",
				Flags: append(operatorFlags(),
					&cli.StringFlag{Name: "file", Required: true, Usage: "entries to write"},
					&cli.StringSliceFlag{Name: "delete", Usage: "KIND/NAME of an entry to delete; may be repeated"},
					&cli.Uint64Flag{Name: "revision", Usage: "revision that the edit was made from (default: the current one)"},
					&cli.StringFlag{Name: "operator", Usage: "who makes the edit (default: the user's name)"},
					&cli.StringFlag{Name: "edit-id", Usage: "identity of the edit, to repeat one whose answer was lost"}),
				Action: catalogueApply,
			}),
			command(&cli.Command{
				Name:   "history",
				Usage:  "prints the audit trail",
				Flags:  append(operatorFlags(), &cli.Uint64Flag{Name: "after", Usage: "only records after this revision"}),
				Action: catalogueHistory,
			}),
		},
	}
}

func listDocument(ctx context.Context, c *cli.Command, kind string) (loomcatalogue.Document, error) {
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
	doc, err := listDocument(ctx, c, c.String("kind"))
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
			return errors.Annotatef(err, "entry %s", e.ID)
		}
		t.row(e.Kind, e.Name, h.Owner, h.Class)
	}
	t.flush()
	return nil
}

func catalogueGet(ctx context.Context, c *cli.Command) error {
	doc, err := listDocument(ctx, c, c.String("kind"))
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

type applyBody struct {
	Operator     string                 `json:"operator"`
	EditID       string                 `json:"edit_id"`
	BaseRevision uint64                 `json:"base_revision"`
	Changes      []loomcatalogue.Change `json:"changes"`
}

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
	body := applyBody{Operator: operatorName(c), EditID: c.String("edit-id"), BaseRevision: c.Uint64("revision"), Changes: changes}
	if body.EditID == "" {
		body.EditID = fmt.Sprintf("cli-%016x", rand.Uint64())
	}
	if !c.IsSet("revision") {
		var doc loomcatalogue.Document
		if err := client.get(ctx, "/v1/catalogue?kind=none", &doc); err != nil {
			return err
		}
		body.BaseRevision = doc.Revision
	}
	reply := applyReply{EditID: body.EditID}
	if err := client.post(ctx, "/v1/catalogue", body, &reply); err != nil {
		return errors.Annotatef(err, "edit %s", body.EditID)
	}
	if c.Bool("json") {
		return printJSON(reply)
	}
	fmt.Printf("revision %d\n", reply.Revision)
	return nil
}

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
			return nil, usagef("--delete: %q is not KIND/NAME", text)
		}
		changes = append(changes, loomcatalogue.Change{ID: loomcatalogue.ID{Kind: loomcatalogue.Kind(kind), Name: name}})
	}
	return changes, nil
}

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
