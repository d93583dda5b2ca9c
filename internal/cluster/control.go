package cluster

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"path/filepath"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/lease"
	"rosereach/internal/control"
	"rosereach/internal/fault"
	"rosereach/internal/httpd"
)

// Control is one control. Its data folder outlives it. Peers are the proxies
// over which it reaches the controls at the same places of the cluster's list;
// the one at its own place is nil.
type Control struct {
	ID    string
	Node  *control.Node
	Peers []*fault.Proxy

	folder  string
	address string
	server  *http.Server
	stop    context.CancelFunc
	ended   chan struct{}
}

// startControls starts a group of controls. Each reaches each other over a
// proxy of its own.
func (c *Cluster) startControls(ctx context.Context, number int) error {
	c.Operator.Key = rand.Text()
	for i := range number {
		id := fmt.Sprintf("control-%d", i+1)
		ctl := &Control{ID: id, folder: filepath.Join(c.opts.Folder, id), Peers: make([]*fault.Proxy, number)}
		for j := range number {
			if i == j {
				continue
			}
			var err error
			if ctl.Peers[j], err = fault.Start(ctx, ""); err != nil {
				return errors.Trace(err)
			}
		}
		c.Controls = append(c.Controls, ctl)
	}
	for i := range c.Controls {
		if err := c.StartControl(ctx, i); err != nil {
			return err
		}
	}
	return c.waitLeader(ctx)
}

// StartControl starts a control on its folder and leads all proxies before it
// there, also after it was killed.
func (c *Cluster) StartControl(ctx context.Context, place int) error {
	ctl := c.Controls[place]
	ctx, stop := context.WithCancel(ctx)
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		stop()
		return err
	}
	ctl.address, ctl.stop = l.Addr().String(), stop
	ctl.Node, err = control.Open(control.Config{
		ID: ctl.ID, Folder: ctl.folder, Address: ctl.address, Peers: c.peersOf(place), MemberKey: c.member,
		OperatorKey: c.Operator.Key, Terms: lease.DefaultTerms(), Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		stop()
		return errors.Annotatef(err, "start %s", ctl.ID)
	}
	ctl.server = serveUntilClosed(l, ctl.Node.Handler())
	context.AfterFunc(ctx, func() { ctl.server.Close() }) //nolint:errcheck // it is gone
	node, ended := ctl.Node, make(chan struct{})
	ctl.ended = ended
	c.group.Go(func() error {
		defer close(ended)
		return node.Run(ctx)
	})
	for _, p := range append(c.proxiesTo(place), c.proxiesFrom(place)...) {
		p.Set(fault.Plan{})
	}
	for _, p := range c.proxiesTo(place) {
		p.SetTarget(ctl.address)
	}
	c.Operator.Address = ctl.address
	return nil
}

// KillControl ends a control as a lost machine would. Operators turn to
// another one.
func (c *Cluster) KillControl(place int) {
	for _, p := range append(c.proxiesTo(place), c.proxiesFrom(place)...) {
		cut(p)
	}
	c.Controls[place].stop()
	<-c.Controls[place].ended
	c.Operator.Address = c.Controls[(place+1)%len(c.Controls)].address
}

// Leader returns the place of the control that leads, or -1.
func (c *Cluster) Leader() int {
	for i, ctl := range c.Controls {
		if ctl.Node.IsLeader() {
			return i
		}
	}
	return -1
}

// IsolateControl puts a plan in force on every connection of a control.
func (c *Cluster) IsolateControl(place int, p fault.Plan) {
	for _, proxy := range append(c.proxiesTo(place), c.proxiesFrom(place)...) {
		proxy.Set(p)
	}
	if p == (fault.Plan{}) {
		return
	}
	c.Operator.Address = c.Controls[(place+1)%len(c.Controls)].address
}

func (c *Cluster) peersOf(place int) map[string]string {
	peers := make(map[string]string)
	for i, p := range c.Controls[place].Peers {
		if p != nil {
			peers[c.Controls[i].ID] = p.Address()
		}
	}
	peers[c.Controls[place].ID] = c.Controls[place].address
	return peers
}

// proxiesTo returns the proxies over which others reach a control.
func (c *Cluster) proxiesTo(place int) []*fault.Proxy {
	var all []*fault.Proxy
	for _, ctl := range c.Controls {
		if p := ctl.Peers[place]; p != nil {
			all = append(all, p)
		}
	}
	for _, e := range c.Entries {
		all = append(all, e.Links[place])
	}
	return all
}

func (c *Cluster) proxiesFrom(place int) []*fault.Proxy {
	var all []*fault.Proxy
	for _, p := range c.Controls[place].Peers {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// waitLeader waits until one control leads.
func (c *Cluster) waitLeader(ctx context.Context) error {
	return errors.Annotate(waitUntil(ctx, func() bool { return c.Leader() >= 0 }), "wait for a leader")
}
