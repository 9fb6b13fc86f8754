// Package loomsignal receives SIGHUP from the start of a process on. The signal ends a process
// that has not asked for it, and the initialization of all packages takes many milliseconds.
// This package imports only a few of the standard library, so that it is one of the first to be
// initialized.
package loomsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// early holds a signal that came before NotifyHangup or EndOnHangup.
var early = make(chan os.Signal, 1)

func init() {
	signal.Notify(early, syscall.SIGHUP)
}

// NotifyHangup relays SIGHUP to c, which needs room for one signal. That includes one that came
// earlier.
func NotifyHangup(c chan<- os.Signal) {
	signal.Notify(c, syscall.SIGHUP)
	select {
	case s := <-early:
		select {
		case c <- s:
		default:
		}
	default:
	}
}

// EndOnHangup lets SIGHUP end the process, as it does by default. That includes one that came
// earlier.
func EndOnHangup() {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-early:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
