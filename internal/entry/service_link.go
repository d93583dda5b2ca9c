package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rosereach/core/backend"
	"rosereach/core/reach"
)

// serviceLink is the entry's link to the servers of one service.
type serviceLink struct {
	reach.Link
	judging chan struct{} // closed when the probes in progress have ended, nil if there are none
	refused bool          // the last direct attempt was refused, and did not hang
	endedAt time.Time     // when the last cut ended
}

// judge reports whether the entry is partitioned from all servers of a service, after a
// connection to one failed. It probes others, once for all connections that fail meanwhile.
func (d *detours) judge(ctx context.Context, failed backend.Announcement) bool {
	d.mu.Lock()
	l := d.link(failed.Service)
	if l.IsCut() || !l.NeedsProbes(d.forwarder.entry.cfg.Clock.Now()) {
		defer d.mu.Unlock()
		return l.IsCut()
	}
	if l.judging == nil {
		l.judging = make(chan struct{})
		d.forwarder.entry.cfg.Clock.AfterFunc(0, func() { d.judgeLink(failed) })
	}
	judging := l.judging
	d.mu.Unlock()
	select {
	case <-judging:
	case <-ctx.Done():
	}
	return d.isCut(failed.Service)
}

// judgeLink probes other servers of the service and judges the link by them.
func (d *detours) judgeLink(failed backend.Announcement) {
	began := d.forwarder.entry.cfg.Clock.Now()
	d.probe(d.probes(failed.Service, failed.Address))
	d.mu.Lock()
	l := d.link(failed.Service)
	begins := l.Judge(d.forwarder.entry.cfg.Clock.Now(), began)
	close(l.judging)
	l.judging = nil
	relays := d.relays.Len()
	d.mu.Unlock()
	if begins {
		level.Warn(d.forwarder.entry.cfg.Logger).Log("msg", "Entry reaches no server of a service.", "service", failed.Service, "relays", relays)
		d.beginCut(failed.Service)
	}
}

// probe connects to servers one after the other, and to the next one beside those that have
// not answered in time, until one accepts or all have failed. The connection is kept for a
// request.
func (d *detours) probe(servers []backend.Announcement) {
	results := make(chan bool, len(servers))
	for started, ended := 0, 0; ended < len(servers); {
		var next <-chan time.Time
		if started < len(servers) {
			server := servers[started]
			go func() { results <- d.probeServer(server) }()
			started++
			next = d.forwarder.entry.cfg.Clock.After(reach.ProbeStagger)
		}
		select {
		case reached := <-results:
			if ended++; reached {
				return
			}
		case <-next:
		}
	}
}

func (d *detours) probeServer(server backend.Announcement) bool {
	conn, err := d.dialDirect(d.forwarder.entry.ctx, server)
	if err != nil {
		return false
	}
	d.forwarder.client.Keep(server.Address, conn)
	return true
}

// beginCut forgets what the entry has seen of the servers, which says nothing about them, and
// closes idle connections, which may never answer.
func (d *detours) beginCut(service string) {
	f := d.forwarder
	servers := f.serversOf(service)
	addresses := make(map[string]bool)
	f.mu.Lock()
	for _, s := range servers {
		addresses[s.Address] = true
		f.health.Forget(s.ID)
		for _, source := range f.evidence.sources {
			source.recorder.Forget(s.ID)
		}
	}
	f.mu.Unlock()
	f.client.CloseIdle(func(address string) bool { return !addresses[address] })
	f.watcher.announcePresence(f.entry.ctx)
	d.scheduleReturn(service)
}

// scheduleReturn schedules the next probe of a service during a cut.
func (d *detours) scheduleReturn(service string) {
	d.mu.Lock()
	delay := reach.ReturnDelay(d.random)
	d.mu.Unlock()
	d.forwarder.entry.cfg.Clock.AfterFunc(delay, func() { d.probeReturn(service) })
}

// probeReturn probes a server directly, again and again until one accepts.
func (d *detours) probeReturn(service string) {
	e := d.forwarder.entry
	if e.ctx.Err() != nil || !d.isCut(service) {
		return
	}
	probes := d.probes(service, "")
	d.probe(probes[:min(len(probes), 1)])
	if d.isCut(service) {
		d.scheduleReturn(service)
	}
}

// recordReached records a direct connection.
func (d *detours) recordReached(service string) {
	e := d.forwarder.entry
	now := e.cfg.Clock.Now()
	d.mu.Lock()
	l := d.link(service)
	since := l.CutSince()
	ends := l.Reached(now)
	if ends {
		l.endedAt = now
	}
	d.mu.Unlock()
	if ends {
		level.Warn(e.cfg.Logger).Log("msg", "Entry reaches servers of a service again.", "service", service, "after", now.Sub(since))
		e.cfg.Clock.AfterFunc(0, func() { d.forwarder.watcher.announcePresence(e.ctx) })
	}
}

// probes returns servers of a service to probe, other than the one at an address.
func (d *detours) probes(service, except string) []backend.Announcement {
	byAddress := make(map[string]backend.Announcement)
	var addresses []string
	for _, s := range d.forwarder.serversOf(service) {
		byAddress[s.Address] = s
		addresses = append(addresses, s.Address)
	}
	d.mu.Lock()
	chosen := reach.Probes(addresses, except, d.random)
	d.mu.Unlock()
	servers := make([]backend.Announcement, 0, len(chosen))
	for _, address := range chosen {
		servers = append(servers, byAddress[address])
	}
	return servers
}

// link returns the link to a service. Callers hold d.mu.
func (d *detours) link(service string) *serviceLink {
	l, ok := d.links[service]
	if !ok {
		l = &serviceLink{}
		d.links[service] = l
	}
	return l
}

func (d *detours) isCut(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[service]
	return ok && l.IsCut()
}

// cuts returns the number of services of which the entry reaches no server, and whether
// there is no other service.
func (d *detours) cuts() (n int, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if l.IsCut() {
			n++
		}
	}
	return n, n > 0 && n == len(d.links)
}

// isCutOff reports whether the entry reaches no server of any service.
func (d *detours) isCutOff() bool {
	_, all := d.cuts()
	return all
}
