package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosereach/platform"
)

// plannedFault is a fault that has been drawn but not yet injected.
type plannedFault struct {
	name   string
	inject func()
}

// injectFaults injects random faults for the configured duration: in series, or one
// each of controls, entries and servers overlapping.
func (s *soak) injectFaults(ctx context.Context) {
	for deadline := time.Now().Add(s.cfg.Duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		s.injectOverlapping(ctx)
		if s.cfg.Progress != nil {
			s.cfg.Progress(fmt.Sprintf("seed %d, %d faults, %d answered, configuration %d, %d breaches, last: %s", s.cfg.Seed, len(s.faults),
				s.answered.Load(), s.ackedVersion.Load(), len(s.violations.all()), s.faults[len(s.faults)-1]))
		}
		time.Sleep(time.Duration(300+s.random.IntN(1000)) * time.Millisecond)
	}
}

// injectOverlapping draws up to one fault of each group, injects them with random
// offsets, and waits until they are repaired.
func (s *soak) injectOverlapping(ctx context.Context) {
	groups := []func(context.Context, *rand.Rand) plannedFault{s.drawControlFault, s.drawEntryFault, s.drawServerFault}
	s.random.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	var running sync.WaitGroup
	var names []string
	for _, draw := range groups[:1+s.random.IntN(len(groups))] {
		f := draw(ctx, rand.New(rand.NewPCG(s.random.Uint64(), 0))) //nolint:gosec // deterministic faults for a given seed
		offset := time.Duration(s.random.IntN(800)) * time.Millisecond
		names = append(names, f.name)
		running.Go(func() {
			time.Sleep(offset)
			f.inject()
		})
	}
	s.faults = append(s.faults, clockTime(time.Now())+" "+strings.Join(names, " + "))
	running.Wait()
}

// drawControlFault draws a fault of the controls. At most one is down at a time, except
// when all are killed, which keeps their data folders.
func (s *soak) drawControlFault(_ context.Context, random *rand.Rand) plannedFault {
	controls := s.currentControls()
	chosen := random.IntN(len(controls))
	p, pause := controls[chosen], drawPause(random)
	if s.cfg.OlderBinary == "" && (random.IntN(6) == 0 || len(controls) < controlCount && random.IntN(2) == 0) {
		return s.drawRemoval(p, controls[(chosen+1)%len(controls)], random)
	}
	switch random.IntN(5) {
	case 0:
		return plannedFault{"kill " + p.node.Name, func() { s.restartAfter(p, p.kill, pause) }}
	case 1:
		return plannedFault{"freeze " + p.node.Name, func() { p.freeze(pause) }}
	case 2:
		return plannedFault{"wipe " + p.node.Name, func() {
			p.kill()
			s.checkHarness(p, p.wipe())
			s.restartAfter(p, func() {}, pause)
			time.Sleep(recoveryTime / 2)
		}}
	case 3:
		return plannedFault{"kill all controls", func() {
			for _, p := range controls {
				p.kill()
			}
			for _, p := range controls {
				s.restartAfter(p, func() {}, 0)
			}
		}}
	default:
		return s.drawReload(p, random)
	}
}

// drawEntryFault draws a fault of the entries.
func (s *soak) drawEntryFault(ctx context.Context, random *rand.Rand) plannedFault {
	i := random.IntN(entryCount)
	p, other, pause := s.entries[i], s.entries[(i+1)%entryCount], drawPause(random)
	stop := func() { s.restartAfter(p, func() { s.stopEntry(ctx, p) }, pause) }
	switch random.IntN(6) {
	case 0:
		return plannedFault{"kill " + p.node.Name, func() { s.restartAfter(p, p.kill, pause) }}
	case 1:
		return plannedFault{"freeze " + p.node.Name, func() { p.freeze(pause) }}
	case 2:
		return plannedFault{"stop " + p.node.Name, stop}
	case 3:
		return plannedFault{"stop " + p.node.Name + " and " + other.node.Name, func() {
			var second sync.WaitGroup
			second.Go(func() {
				time.Sleep(pause)
				s.restartAfter(other, func() { s.stopEntry(ctx, other) }, pause)
			})
			stop()
			second.Wait()
		}}
	case 4:
		reload := s.drawReload(p, random)
		return plannedFault{reload.name + " and stop it", func() {
			reload.inject()
			time.Sleep(pause / 4)
			stop()
		}}
	default:
		return s.drawReload(p, random)
	}
}

// stopEntry stops an entry beside callers that connect anew at once after each refusal, and checks
// that it ends within its grace time. That of another build is not checked.
func (s *soak) stopEntry(ctx context.Context, p *process) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range insistentCount {
		callers.Go(func() {
			insist(ctx, func() requestOutcome {
				client := newCallerClient(requestTimeout)
				defer client.CloseIdleConnections()
				outcome := s.sendRequest(client, s.callerAddress(p), "safe", fmt.Sprintf("i-%d", s.insisted.Add(1)), goodKey)
				if outcome.status != http.StatusServiceUnavailable { // of these there are thousands
					s.record(outcome)
				}
				return outcome
			})
		})
	}
	isOlder := p.isOlder
	s.violations.checkGrace(p.node.Name, p.grace(), p.stop() && !isOlder)
	cancel()
	callers.Wait()
}

// drawServerFault draws a fault of the servers, or something that they want of the
// entries.
func (s *soak) drawServerFault(ctx context.Context, random *rand.Rand) plannedFault {
	i := random.IntN(serverCount)
	srv, pause := s.servers[i], drawPause(random)
	switch random.IntN(5) {
	case 0:
		return plannedFault{"faulty " + srv.name, func() {
			srv.setFaulty(true)
			time.Sleep(pause)
			srv.setFaulty(false)
		}}
	case 1:
		lead, silence := time.Duration(random.IntN(1000))*time.Millisecond, time.Duration(800+random.IntN(500))*time.Millisecond
		return plannedFault{"pause " + srv.name + " beside a change", func() {
			time.Sleep(time.Until(time.Unix(0, s.nextChange.Load()).Add(-lead)))
			srv.setSilent(true)
			time.Sleep(silence)
			srv.setSilent(false)
		}}
	case 2:
		announced := random.IntN(2) == 0
		return plannedFault{fmt.Sprintf("%s leaves (announced: %v)", srv.name, announced), func() {
			srv.leave(announced)
			time.Sleep(platform.SimulatedDrainTime + time.Second + pause)
			srv.replace(ctx, s.ports, s.controlIPs())
		}}
	case 3:
		return plannedFault{"all servers turn requests away", func() {
			for _, srv := range s.servers {
				srv.holdOff(pause)
			}
			time.Sleep(pause)
		}}
	default:
		return plannedFault{srv.name + " turns requests away", func() {
			srv.holdOff(time.Second + pause)
			time.Sleep(time.Second + pause)
		}}
	}
}

// nameLimits lets one server after the other name a limit for some seconds, beside all other
// faults. It draws from a source of its own, so that the faults of a seed stay as they are.
func (s *soak) nameLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 11)) //nolint:gosec // deterministic faults for a given seed
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
		srv := s.servers[random.IntN(serverCount)]
		srv.nameLimit(0.5 + float64(random.IntN(10))/2)
		sleep(ctx, contactTime+limitWindow+drawPause(random))
		srv.nameLimit(0)
	}
}

// limitProcessors gives one entry after the other a part of a processor for some seconds, beside all
// other faults: an instance's usual share. It draws from a source of its own, so that the faults of a
// seed stay as they are.
func (s *soak) limitProcessors(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 17)) //nolint:gosec // deterministic faults for a given seed
	for ctx.Err() == nil {
		sleep(ctx, 2*drawPause(random))
		p := s.entries[random.IntN(entryCount)]
		limited, cancel := context.WithTimeout(ctx, 3*drawPause(random))
		p.limitProcessor(limited, processorShare)
		cancel()
	}
}

// failTogether lets half of the servers fail in overlapping periods, again and again, beside all
// other faults. It draws from a source of its own, so that the faults of a seed stay as they are.
func (s *soak) failTogether(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 13)) //nolint:gosec // deterministic faults for a given seed
	for ctx.Err() == nil {
		sleep(ctx, 2*drawPause(random))
		var failing sync.WaitGroup
		for _, i := range random.Perm(serverCount)[:serverCount/2] {
			offset, period := drawPause(random)/4, drawPause(random)+time.Second
			failing.Go(func() {
				sleep(ctx, offset)
				s.servers[i].setFailing(true)
				sleep(ctx, period)
				s.servers[i].setFailing(false)
			})
		}
		failing.Wait()
	}
}

// sleep waits for some time, or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drawReload draws a change of a process's settings file: other seeds, with SIGHUP or
// without.
func (s *soak) drawReload(p *process, random *rand.Rand) plannedFault {
	ips := s.controlIPs()
	random.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	seeds, hangUp := ips[:1+random.IntN(len(ips))], random.IntN(2) == 0
	return plannedFault{fmt.Sprintf("reload %s (SIGHUP: %v)", p.node.Name, hangUp), func() { s.checkHarness(p, p.reload(seeds, hangUp)) }}
}

// drawPause draws how long a fault lasts.
func drawPause(random *rand.Rand) time.Duration {
	return time.Duration(300+random.IntN(2500)) * time.Millisecond
}

// restartAfter ends a program, waits for the pause and starts the program again.
func (s *soak) restartAfter(p *process, terminate func(), pause time.Duration) {
	terminate()
	time.Sleep(pause)
	s.checkHarness(p, p.start())
	p.endDisruption()
}

// checkHarness reports an error of the soak itself.
func (s *soak) checkHarness(p *process, err error) {
	if err != nil {
		s.violations.add("soak harness", p.node.Name, "%v", err)
	}
}

// entryDisruptions returns the disruptions of the entries by their addresses for
// callers.
func (s *soak) entryDisruptions() map[string][]disruption {
	disruptions := make(map[string][]disruption)
	for _, p := range s.entries {
		disruptions[s.callerAddress(p)] = p.disruptions
	}
	return disruptions
}

// callerAddress returns the address of an entry for callers.
func (s *soak) callerAddress(p *process) string {
	return net.JoinHostPort(p.node.IP, strconv.Itoa(s.ports.Callers))
}
