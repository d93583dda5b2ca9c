package cluster

import (
	"context"
	"crypto/rand"
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

// Control is one control. Its data folder outlives it.
type Control struct {
	ID   string
	Node *control.Node

	folder  string
	address string
	server  *http.Server
	stop    context.CancelFunc
	ended   chan struct{}
}

func (c *Cluster) startControl(ctx context.Context, id string) (*Control, error) {
	ctl := &Control{ID: id, folder: filepath.Join(c.opts.Folder, id)}
	if c.Operator.Key == "" {
		c.Operator.Key = rand.Text()
	}
	if err := c.open(ctx, ctl); err != nil {
		return nil, err
	}
	c.Operator.Address = ctl.address
	return ctl, nil
}

// open starts a control on its data folder.
func (c *Cluster) open(ctx context.Context, ctl *Control) error {
	ctx, stop := context.WithCancel(ctx)
	node, err := control.Open(control.Config{
		ID: ctl.ID, Folder: ctl.folder, MemberKey: c.member, OperatorKey: c.Operator.Key, Terms: lease.DefaultTerms(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		stop()
		return err
	}
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		stop()
		return err
	}
	ctl.Node, ctl.address, ctl.stop = node, l.Addr().String(), stop
	ctl.server = serveUntilClosed(l, node.Handler())
	context.AfterFunc(ctx, func() { ctl.server.Close() }) //nolint:errcheck // it is gone
	ended := make(chan struct{})
	ctl.ended = ended
	c.group.Go(func() error {
		defer close(ended)
		return node.Run(ctx)
	})
	return nil
}

// KillControl ends a control abruptly.
func (c *Cluster) KillControl(place int) {
	for _, e := range c.Entries {
		cut(e.Links[place])
	}
	c.Controls[place].stop()
	<-c.Controls[place].ended
}

// StartControl starts a control again on its folder, at another address to
// which its proxies then lead.
func (c *Cluster) StartControl(ctx context.Context, place int) error {
	ctl := c.Controls[place]
	if err := c.open(ctx, ctl); err != nil {
		return errors.Annotate(err, "start the control again")
	}
	c.Operator.Address = ctl.address
	for _, e := range c.Entries {
		e.Links[place].SetTarget(ctl.address)
		e.Links[place].Set(fault.Plan{})
	}
	return nil
}
