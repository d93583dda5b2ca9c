package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosereach/platform"
)

// catchUpTime is how long a new control has to catch up before another one may be removed.
const catchUpTime = 4 * time.Second

// drawRemoval draws the removal of a control without notice, beside its successor, and the loss of
// another one's disk in the time in which the group has not replaced the first yet.
func (s *soak) drawRemoval(removed, wiped *process, random *rand.Rand) plannedFault {
	wait, pause := time.Duration(random.IntN(4000))*time.Millisecond, drawPause(random)
	name := fmt.Sprintf("remove %s beside its successor, and %s later wipe %s", removed.node.Name, wait, wiped.node.Name)
	return plannedFault{name, func() {
		if !s.addControl(removed) {
			return
		}
		time.Sleep(catchUpTime)
		removed.kill()
		s.dropControl(removed)
		time.Sleep(wait)
		wiped.kill()
		s.checkHarness(wiped, wiped.wipe())
		s.restartAfter(wiped, func() {}, pause)
		time.Sleep(recoveryTime / 2)
	}}
}

// addControl starts a control with an empty disk, and reports whether it runs.
func (s *soak) addControl(like *process) bool {
	s.added++
	n := platform.SimulatedNode{
		Name: fmt.Sprintf("control-%d", controlCount+s.added), IP: s.ip(controlCount + entryCount + s.added), Zone: like.node.Zone,
		Seeds: s.controlIPs()[:3], Control: true, Ports: s.ports,
	}
	p, err := newProcess(s.cfg.Folder, s.cfg.Binary, n)
	if err == nil {
		err = p.start()
	}
	if err != nil {
		s.checkHarness(like, err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls = append(s.controls, p)
	return true
}

// dropControl forgets a control that has been removed, and names others as seeds to all processes.
func (s *soak) dropControl(removed *process) {
	s.mu.Lock()
	for i, p := range s.controls {
		if p == removed {
			s.controls = append(s.controls[:i:i], s.controls[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	removed.log.Close() //nolint:errcheck // the process has exited
	seeds := s.controlIPs()[:3]
	for _, p := range append(s.currentControls(), s.entries...) {
		s.checkHarness(p, p.reload(seeds, true))
	}
}
