package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomcatalogue"
	"swiftloom/loomplatform"
	"swiftloom/loomroute"
	"swiftloom/loomsettings"
	"swiftloom/platform"
)

func checkCommand() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "check",
		Usage: "validates settings and catalogue files, and prints all faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI file with the settings of an instance"},
			&cli.StringFlag{Name: "gate", Usage: "settings file that the users' platform writes for an entry instance (command gate)"},
			&cli.StringFlag{Name: "catalogue", Usage: "JSON or INI file with catalogue entries"},
			jsonFlag(),
		},
		Action: check,
	})
}

// checkReport is the JSON output of the command.
type checkReport struct {
	OK     bool                 `json:"ok"`
	Faults []loomsettings.Fault `json:"faults"`
}

func check(_ context.Context, c *cli.Command) error {
	var faults []loomsettings.Fault
	if c.String("settings") == "" && c.String("gate") == "" && c.String("catalogue") == "" {
		return usageErrorf("check needs --settings, --gate or --catalogue")
	}
	if path := c.String("settings"); path != "" {
		faults = append(faults, checkSettings(path)...)
	}
	if path := c.String("gate"); path != "" {
		faults = append(faults, checkGate(path)...)
	}
	if path := c.String("catalogue"); path != "" {
		faults = append(faults, checkCatalogue(path)...)
	}
	if c.Bool("json") {
		if err := printJSON(checkReport{OK: len(faults) == 0, Faults: slices.Concat([]loomsettings.Fault{}, faults)}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		if !c.Bool("json") {
			fmt.Fprintln(os.Stderr, loomsettings.Faults(faults).Error())
		}
		return errors.Errorf("found %d faults", len(faults))
	}
	if !c.Bool("json") {
		fmt.Println("ok")
	}
	return nil
}

// checkSettings validates the settings of an instance. The names of routing
// policies and platform drivers are checked here, because package loomsettings
// does not import the packages that define them.
func checkSettings(path string) []loomsettings.Fault {
	s, err := loomsettings.ReadFile(path)
	if err != nil {
		return faultsFromError(path, err)
	}
	var faults []loomsettings.Fault
	if !slices.Contains(loomroute.Policies(), s.Routing.Policy) {
		faults = append(faults, loomsettings.Fault{File: path, Section: "routing", Key: "policy", Message: fmt.Sprintf("unknown policy %q (have %v)", s.Routing.Policy, loomroute.Policies())})
	}
	if !slices.Contains(loomplatform.Drivers(), s.Platform.Driver) {
		faults = append(faults, loomsettings.Fault{File: path, Section: "platform", Key: "driver", Message: fmt.Sprintf("unknown driver %q (have %v)", s.Platform.Driver, loomplatform.Drivers())})
	}
	return faults
}

func checkGate(path string) []loomsettings.Fault {
	if _, err := platform.ReadSettings(path); err != nil {
		return faultsFromError(path, err)
	}
	return nil
}

// checkCatalogue validates a catalogue file as the first edit of an empty
// catalogue, so that it must contain all entries that its entries refer to.
func checkCatalogue(path string) []loomsettings.Fault {
	data, err := os.ReadFile(path)
	if err != nil {
		return faultsFromError(path, err)
	}
	changes, err := loomcatalogue.ParseFile(path, data)
	if err != nil {
		return faultsFromError(path, err)
	}
	edit := loomcatalogue.Edit{ID: "check", Operator: "check", Changes: changes}
	var empty loomcatalogue.Snapshot
	if _, _, err := empty.Edit(time.Now(), edit); err != nil {
		return faultsFromError(path, err)
	}
	return nil
}

// faultsFromError returns the faults in err, or err as a single fault of the file.
func faultsFromError(path string, err error) []loomsettings.Fault {
	var faults loomsettings.Faults
	if errors.As(err, &faults) {
		return faults
	}
	return []loomsettings.Fault{{File: path, Message: err.Error()}}
}
