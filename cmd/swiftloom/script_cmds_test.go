package main

import (
	"os"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	eventuallyTries = 150
	eventuallyPause = 100 * time.Millisecond
)

// eventually runs a program until it succeeds and its output matches a pattern.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually pattern program [argument...]")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for range eventuallyTries {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(eventuallyPause)
	}
	ts.Fatalf("%v does not succeed", args)
}

// expand replaces environment variables in a file.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand file")
	}
	path := ts.MkAbs(args[0])
	text := os.Expand(ts.ReadFile(path), ts.Getenv)
	ts.Check(os.WriteFile(path, []byte(text), 0o600))
}
