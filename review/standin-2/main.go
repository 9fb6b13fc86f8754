// Command standin2 plays the cases of the second review that are scripts: it starts the project's
// programs as processes beside stand-ins for the platform's store, runners and clients, and checks
// a rule by what these have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit bounds a case.
const playLimit = 100 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each is played with the disruption or without it.
var cases = map[string]func(s *site, trouble bool) error{
	"wall":   playWall,
	"lease":  playLease,
	"denied": playDenied,
	"tenant": playTenant,
	"leave":  playLeave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = rec.file.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", name, trouble)
	s, err := newSite(rec)
	if err != nil {
		rec.printf("the case can't run: %v", err)
		return 2
	}
	ended := make(chan error, 1)
	go func() { ended <- cases[name](s, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-interrupted:
		err = errors.New("the case was interrupted")
	case <-time.After(playLimit):
		err = fmt.Errorf("the case has not ended within %s", playLimit)
	}
	s.close()
	switch {
	case errors.Is(err, errBroken):
		rec.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	case err != nil:
		rec.printf("the case can't run: %v", err)
		fmt.Println("the case can't run:", err)
		return 2
	default:
		rec.printf("result: the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
