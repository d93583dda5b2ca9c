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

// Control is one control. Its data folder stays when it is killed.
type Control struct {
	ID   string
	Node *control.Node

	// PeerProxies are the proxies through which it reaches the others. The indices
	// are those of Cluster.Controls; the proxy at its own index is nil.
	PeerProxies []*fault.Proxy

	folder  string
	address string
	server  *http.Server
	stop    context.CancelFunc
	done    chan struct{}
}

// startControls starts a group of controls, with a proxy for each direction
// between two of them, and waits for a leader.
func (c *Cluster) startControls(ctx context.Context, count int) error {
	c.Operator.Key = rand.Text()
	for i := range count {
		id := fmt.Sprintf("control-%d", i+1)
		ctl := &Control{ID: id, folder: filepath.Join(c.opts.Folder, id), PeerProxies: make([]*fault.Proxy, count)}
		for j := range count {
			if i == j {
				continue
			}
			var err error
			if ctl.PeerProxies[j], err = fault.Start(ctx, ""); err != nil {
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

// StartControl starts the control at an index, for the first time or after it was
// killed, on its data folder. It directs the proxies to the control there and
// removes their faults.
func (c *Cluster) StartControl(ctx context.Context, index int) error {
	ctl := c.Controls[index]
	ctx, stop := context.WithCancel(ctx)
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		stop()
		return err
	}
	ctl.address, ctl.stop = l.Addr().String(), stop
	ctl.Node, err = control.Open(control.Config{
		ID: ctl.ID, Folder: ctl.folder, Address: ctl.address, Peers: c.peerAddresses(index), MemberKey: c.memberKey,
		OperatorKey: c.Operator.Key, Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		stop()
		return errors.Annotatef(err, "start %s", ctl.ID)
	}
	ctl.server = serveUntilClosed(l, ctl.Node.Handler())
	context.AfterFunc(ctx, func() { ctl.server.Close() }) //nolint:errcheck // the listener is gone either way
	node, ended := ctl.Node, make(chan struct{})
	ctl.done = ended
	c.group.Go(func() error {
		defer close(ended)
		return node.Run(ctx)
	})
	for _, p := range append(c.proxiesTo(index), c.proxiesFrom(index)...) {
		p.SetPlan(fault.Plan{})
	}
	for _, p := range c.proxiesTo(index) {
		p.SetTarget(ctl.address)
	}
	c.Operator.Address = ctl.address
	return nil
}

// KillControl stops the control at an index and cuts off its connections, as the
// loss of its machine would. Operator then uses another control.
func (c *Cluster) KillControl(index int) {
	for _, p := range append(c.proxiesTo(index), c.proxiesFrom(index)...) {
		disconnect(p)
	}
	c.Controls[index].stop()
	<-c.Controls[index].done
	c.Operator.Address = c.Controls[(index+1)%len(c.Controls)].address
}

// Leader returns the index of the control that leads, or -1.
func (c *Cluster) Leader() int {
	for i, ctl := range c.Controls {
		if ctl.Node.IsLeader() {
			return i
		}
	}
	return -1
}

// IsolateControl applies a fault plan to all connections of the control at an
// index. With an empty plan it removes the faults, else Operator then uses
// another control.
func (c *Cluster) IsolateControl(index int, p fault.Plan) {
	for _, proxy := range append(c.proxiesTo(index), c.proxiesFrom(index)...) {
		proxy.SetPlan(p)
	}
	if p == (fault.Plan{}) {
		return
	}
	c.Operator.Address = c.Controls[(index+1)%len(c.Controls)].address
}

// peerAddresses returns the address of each control, by id, as the control at the index
// reaches it.
func (c *Cluster) peerAddresses(index int) map[string]string {
	peers := make(map[string]string)
	for i, p := range c.Controls[index].PeerProxies {
		if p != nil {
			peers[c.Controls[i].ID] = p.Address()
		}
	}
	peers[c.Controls[index].ID] = c.Controls[index].address
	return peers
}

// proxiesTo returns the proxies through which entries and other controls reach the
// control at the index.
func (c *Cluster) proxiesTo(index int) []*fault.Proxy {
	var all []*fault.Proxy
	for _, ctl := range c.Controls {
		if p := ctl.PeerProxies[index]; p != nil {
			all = append(all, p)
		}
	}
	for _, e := range c.Entries {
		all = append(all, e.ControlProxies[index])
	}
	return all
}

// proxiesFrom returns the proxies through which the control at the index reaches
// the others.
func (c *Cluster) proxiesFrom(index int) []*fault.Proxy {
	var all []*fault.Proxy
	for _, p := range c.Controls[index].PeerProxies {
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
