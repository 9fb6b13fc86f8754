package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"swiftloom": func() { os.Exit(run(os.Args)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"PLATFORM", "STORE", "ENGINE_A", "ENGINE_B", "SERVICE", "HTTP_A", "PEER_A", "HTTP_B", "PEER_B"} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"eventually": eventually,
			"expand":     expand,
		},
	})
}

const (
	// firstPort and portCount define a range below the ephemeral ports, so that
	// the operating system assigns none of these ports to other processes.
	firstPort = 20_000
	portCount = 10_000
)

// nextPort is the offset of the port to try next. It is atomic because scripts
// run in parallel.
var nextPort atomic.Uint32

// freeAddress returns a loopback address with a port on which no process listens.
func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*64+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port in the range that the tests use")
}
