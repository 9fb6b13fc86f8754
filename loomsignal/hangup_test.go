package loomsignal_test

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomsignal"
)

// childVariable names, in a process that a test has started, what the process does.
const childVariable = "SWIFTLOOM_HANGUP_TEST"

func TestMain(m *testing.M) {
	hangUp := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	switch os.Getenv(childVariable) {
	case "notify":
		hangUp()
		time.Sleep(20 * time.Millisecond)
		c := make(chan os.Signal, 1)
		loomsignal.NotifyHangup(c)
		<-c
		hangUp()
		<-c
	case "end after":
		loomsignal.EndOnHangup()
		hangUp()
		time.Sleep(10 * time.Second)
	case "end before":
		hangUp()
		time.Sleep(20 * time.Millisecond)
		loomsignal.EndOnHangup()
		time.Sleep(10 * time.Second)
	default:
		os.Exit(m.Run())
	}
}

func TestHangup(t *testing.T) {
	tests := []struct {
		name string
		ends bool
	}{
		{"notify", false},
		{"end after", true},
		{"end before", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), childVariable+"="+tt.name)
			err := cmd.Run()
			if !tt.ends {
				assert.NilError(t, err)
				return
			}
			var exit *exec.ExitError
			assert.Assert(t, errors.As(err, &exit), "got error %v", err)
			status, ok := exit.Sys().(syscall.WaitStatus)
			assert.Assert(t, ok && status.Signaled() && status.Signal() == syscall.SIGHUP, "got status %v", exit)
		})
	}
}

// TestHangupIsAskedForFirst guards against a process that SIGHUP ends while its packages are
// initialized.
func TestHangupIsAskedForFirst(t *testing.T) {
	binary := t.TempDir() + "/swiftloom"
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/swiftloom").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	cmd := exec.Command(binary, "--help")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err = cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	position := make(map[string]int)
	for i, line := range strings.Split(string(out), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			position[fields[1]] = i
		}
	}
	own, ok := position["swiftloom/loomsignal"]
	assert.Assert(t, ok, "got %s", out)
	for _, other := range []string{"reflect", "net/http", "google.golang.org/protobuf/reflect/protoregistry", "github.com/prometheus/client_golang/prometheus", "swiftloom/loompb", "main"} {
		at, ok := position[other]
		assert.Check(t, ok && own < at, "%s is initialized at position %d, loomsignal at %d", other, at, own)
	}
}
