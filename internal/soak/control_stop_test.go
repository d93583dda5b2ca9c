package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startSoak starts the processes of a soak run, without load and faults.
func startSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{cfg: Config{Binary: binary, Folder: t.TempDir(), Seed: seed}, random: rand.New(rand.NewPCG(seed, 7)), arrivals: &arrivals{byID: make(map[string][]arrival)}}
	t.Cleanup(s.cleanUp)
	if err := s.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, srv := range s.servers {
		go srv.announceLoop(t.Context(), s.ports, s.controlIPs)
	}
	if err := s.waitUntilServing(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

// insistOn lets callers connect anew to the port of a process, at once after each answer, until done
// is closed.
func insistOn(address string, n int, done <-chan struct{}) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(insistentPause)
					continue
				}
				conn.SetDeadline(time.Now().Add(requestTimeout))
				fmt.Fprintf(conn, "GET /resolve?zone=z HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address)
				io.Copy(io.Discard, conn)
				conn.Close()
			}
		})
	}
	return &callers
}

// Controls end by themselves in their grace time beside callers that connect anew at once to all their
// ports, with a part of a processor, one after the other and two at a time, and with signals that
// repeat.
func TestStoppedControlsEndWithinTheirGraceTime(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	s := startSoak(t, 5)
	for i, p := range s.controls {
		done := make(chan struct{})
		var callers []*sync.WaitGroup
		for _, port := range []int{s.ports.Directory, s.ports.Control, s.ports.Internal} {
			callers = append(callers, insistOn(net.JoinHostPort(p.node.IP, strconv.Itoa(port)), 50, done))
		}
		go p.limitProcessor(t.Context(), processorShare)
		stopped := []*process{p}
		if i%2 == 1 {
			stopped = append(stopped, s.controls[(i+1)%controlCount])
		}
		var stops sync.WaitGroup
		for _, p := range stopped {
			began, wait := time.Now(), p.terminate()
			stops.Go(func() {
				if wait() {
					t.Errorf("%s was killed %s after SIGTERM", p.node.Name, p.grace())
				}
				t.Logf("%s has ended %s after SIGTERM", p.node.Name, time.Since(began).Round(time.Millisecond))
			})
			p.signal(syscall.SIGHUP)
			p.signal(syscall.SIGTERM)
		}
		stops.Wait()
		close(done)
		for _, c := range callers {
			c.Wait()
		}
		for _, p := range stopped {
			if err := p.start(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Processes that are told to stop while they start end by themselves in their grace time.
func TestProcessesStoppedDuringTheirStartEndWithinTheirGraceTime(t *testing.T) {
	t.Parallel()
	s := startSoak(t, 7)
	var processes sync.WaitGroup
	for _, p := range []*process{s.controls[0], s.entries[0]} {
		p.kill()
		processes.Go(func() {
			for _, d := range []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond, 160 * time.Millisecond} {
				if err := p.start(); err != nil {
					t.Error(err)
					return
				}
				time.Sleep(d)
				began := time.Now()
				if p.stop() {
					t.Errorf("%s was killed %s after SIGTERM, %s after its start", p.node.Name, p.grace(), d)
				}
				t.Logf("%s has ended %s after SIGTERM, %s after its start", p.node.Name, time.Since(began).Round(time.Millisecond), d)
			}
		})
	}
	processes.Wait()
}
