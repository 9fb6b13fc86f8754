package main

import (
	"os"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	eventuallyAttempts = 150
	eventuallyInterval = 100 * time.Millisecond
)

// eventually is a script command that runs a program repeatedly until it succeeds
// and its standard output matches a regular expression.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually pattern program [argument...]")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for range eventuallyAttempts {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(eventuallyInterval)
	}
	ts.Fatalf("%v: no success with output that matches %q after %d attempts", args[1:], args[0], eventuallyAttempts)
}

// expand is a script command that replaces environment variables in a file.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand file")
	}
	path := ts.MkAbs(args[0])
	text := os.Expand(ts.ReadFile(path), ts.Getenv)
	ts.Check(os.WriteFile(path, []byte(text), 0o600))
}
