// Command rig runs the cases of the review that are scripts: it starts the project's program as
// separate processes beside stand-ins for the platform's store and for runners.
//
// Usage: rig CASE RECORD TROUBLE, in the repository's root. A TROUBLE of 0 leaves the disruption out.
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

var (
	began    = time.Now()
	tempDir  string
	trouble  bool
	recordMu sync.Mutex
	recordTo *os.File
)

// cases holds the function of each case, which reports whether the rule was broken.
var cases = map[string]func() bool{
	"renewal":  renewal,
	"unframed": unframed,
	"feed":     feed,
	"parts":    parts,
	"handover": handover,
}

// record writes a line to the record, with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = recordTo.WriteString(line)
}

// fail ends the rig with status 2.
func fail(format string, args ...any) {
	record("couldn't run: "+format, args...)
	end(2)
}

// end ends all processes that were started, and the rig.
func end(status int) {
	stopGates()
	for _, c := range children {
		_ = c.cmd.Process.Kill()
	}
	_ = os.RemoveAll(tempDir)
	os.Exit(status)
}

func main() {
	runtime.LockOSThread()
	if len(os.Args) == 4 && os.Args[1] == "child" {
		runChild(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD TROUBLE")
		os.Exit(2)
	}
	trouble = os.Args[3] != "0"
	var err error
	if recordTo, err = os.Create(os.Args[2]); err == nil { //nolint:gosec // the record's path is named by the user
		tempDir, err = os.MkdirTemp("", "swiftloom-review-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { fail("the case took over 115 s") })
	record("case %s, trouble %t", os.Args[1], trouble)
	isBroken := cases[os.Args[1]]()
	record("rule broken: %t", isBroken)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(tempDir))
	}
	if isBroken {
		end(1)
	}
	end(0)
}
