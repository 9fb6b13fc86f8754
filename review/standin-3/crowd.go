package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of channels that the crowd tries to keep, and crowdInterval the time between two
	// requests on one of them.
	crowdSize     = 750
	crowdInterval = 600 * time.Millisecond
	// crowdAddress and ordinaryAddress are where the channels of the crowd and of the other clients come from.
	crowdAddress    = "127.0.0.9"
	ordinaryAddress = "127.0.0.1"
	// ordinaryClients is the number of clients that try new channels, each at an interval.
	ordinaryClients = 8
	tryInterval     = 500 * time.Millisecond
)

// playCrowd lets many callers keep channels on which each of them sends a small request now and then.
func playCrowd(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	s.isMorrison = true
	g, err := s.startPlain(ctx, plainRouting(), 2, 10*time.Millisecond, nil)
	if err != nil {
		return nil, err
	}
	crowd, endCrowd := context.WithCancel(ctx)
	defer endCrowd()
	var members sync.WaitGroup
	var answered, failed atomic.Int64
	for range crowdSize {
		if isCalm {
			break
		}
		members.Go(func() { s.joinCrowd(crowd, g, &answered, &failed) })
		_ = pause(ctx, 2*time.Millisecond)
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return nil, err
	}
	s.record.printf("crowd: %d requests answered, %d channels refused or closed so far", answered.Load(), failed.Load())
	longest, tries := s.tryChannels(ctx, g, 30*time.Second)
	s.record.printf("crowd: %d requests answered, %d channels refused or closed", answered.Load(), failed.Load())
	s.record.printf("%d clients: %d tries, the longest time without a new channel that was served %s; ended %t", ordinaryClients, tries, longest.Round(time.Millisecond), g.hasEnded())
	endCrowd()
	members.Wait()
	if longest > 3*time.Second {
		return verdict{fmt.Sprintf("RECOVER: the instance is ready and took no new channel for %s while %d clients tried", longest.Round(time.Millisecond), ordinaryClients)}, nil
	}
	return nil, nil
}

// joinCrowd keeps a channel and sends small requests on it until ctx ends.
func (s *site) joinCrowd(ctx context.Context, g *gate, answered, failed *atomic.Int64) {
	for ctx.Err() == nil {
		c, err := openChannelFrom(ctx, crowdAddress, g.callers)
		if err != nil {
			failed.Add(1)
			_ = pause(ctx, crowdInterval)
			continue
		}
		for ctx.Err() == nil {
			status, err := c.ask(request("a.example", "/none/", nextID(), 2*time.Second), 2*time.Second)
			if err != nil || status == 0 {
				failed.Add(1)
				break
			}
			answered.Add(1)
			_ = pause(ctx, crowdInterval)
		}
		c.close()
		_ = pause(ctx, crowdInterval)
	}
}

// tryChannels lets clients open new channels for a time, each for one request, and returns the longest time in
// which none was answered.
func (s *site) tryChannels(ctx context.Context, g *gate, during time.Duration) (longest time.Duration, tries int64) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	var count atomic.Int64
	last := time.Now()
	clients.Go(func() {
		for end := time.Now().Add(during); time.Now().Before(end); _ = pause(ctx, time.Second) {
			isReady := g.isReady(ctx)
			s.record.printf("ready: %t", isReady)
			if !isReady {
				// Only an instance that says that it is ready has to take channels.
				mu.Lock()
				last = time.Now()
				mu.Unlock()
			}
		}
	})
	for range ordinaryClients {
		clients.Go(func() {
			for end := time.Now().Add(during); time.Now().Before(end); _ = pause(ctx, tryInterval) {
				id := nextID()
				count.Add(1)
				status := 0
				c, err := openChannelFrom(ctx, ordinaryAddress, g.callers)
				if err == nil {
					status, err = c.ask(request("a.example", "/call/1", id, 2*time.Second), 2*time.Second)
					c.close()
				}
				s.record.printf("client: %s on a new channel answered %d (%v)", id, status, err)
				mu.Lock()
				longest = max(longest, time.Since(last))
				if status == http.StatusOK {
					last = time.Now()
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return longest, count.Load()
}

// openChannelFrom opens a channel that comes from an address.
func openChannelFrom(ctx context.Context, from, to string) (*channel, error) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return dialChannel(ctx, d, to)
}
