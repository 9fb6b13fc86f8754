package loomupstream

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pauseTick is the time between two looks at the clock while something watches for pauses,
	// and minPause the least time between two looks that counts as a pause.
	pauseTick = 25 * time.Millisecond
	minPause  = 150 * time.Millisecond
)

// bootTime returns the time since the machine booted as a time.Time. It includes the time in which
// the machine was suspended.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// pauseWatch finds out when the process didn't run: it was stopped, suspended or starved. It looks
// at the clock only while something uses it. Its methods may be called concurrently.
type pauseWatch struct {
	mu    sync.Mutex
	users int
	stop  chan struct{}
	// seenAt is the latest look, and pausedAt the one that ended the latest pause.
	seenAt, pausedAt time.Time
}

// processPauses watches this process.
var processPauses pauseWatch

// watchPauses returns the watch of this process, which the caller releases.
func watchPauses() *pauseWatch {
	processPauses.acquire(bootTime())
	return &processPauses
}

func (w *pauseWatch) acquire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.users++; w.users > 1 {
		return
	}
	w.seenAt = now
	stop := make(chan struct{})
	w.stop = stop
	go func() {
		ticker := time.NewTicker(pauseTick)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				w.look(bootTime())
			}
		}
	}()
}

func (w *pauseWatch) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.users--; w.users == 0 {
		close(w.stop)
	}
}

// look records a look at the clock.
func (w *pauseWatch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.seenAt) >= minPause {
		w.pausedAt = now
	}
	w.seenAt = now
}

// hasPaused reports whether the process was paused at a time between two, the later of which is now.
func (w *pauseWatch) hasPaused(from, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pausedAt.After(from) || now.Sub(w.seenAt) >= minPause
}
