package main

import (
	"fmt"
	"net"
	"os"
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

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
