// Command standin-3 plays the cases of review/REPORT-3.md: it starts stand-ins for a small site and
// instances of swiftloom as processes, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a case.
const limit = 112 * time.Second

// verdict is the result of a case: what breaks the rule, or nothing.
type verdict []string

// play is a case. It is disturbed unless isCalm is set.
type play func(ctx context.Context, s *site, isCalm bool) (verdict, error)

// plays holds the cases by name.
var plays = map[string]play{
	"late-order":    playLateOrder,
	"sent-ahead":    playSentAhead,
	"foreign-entry": playForeignEntry,
	"header-limit":  playHeaderLimit,
	"slow-reader":   playSlowReader,
	"crowd":         playCrowd,
}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

// runCase plays the case with a name and writes its record into a folder.
func runCase(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &site{record: rec, store: newStore()}
	defer s.stop()
	isCalm := os.Getenv("TROUBLE") == "0"
	rec.printf("case %s, disturbance %t", args[0], !isCalm)
	found, err := plays[args[0]](ctx, s, isCalm)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the case took too long or was ended")
	}
	if err != nil {
		rec.printf("not run: %s", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	for _, text := range found {
		rec.printf("broken: %s", text)
		fmt.Println("broken:", text)
	}
	if len(found) > 0 {
		return exitBroken
	}
	rec.printf("held")
	fmt.Println("held")
	return exitHeld
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the folder is that of the case, named by run.sh
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// printf writes a line with the time since the beginning.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	_ = r.file.Close()
}
