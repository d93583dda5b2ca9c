// Package member carries messages between rosereach's own processes: CBOR
// frames over WebSocket, with calls, notices and bounded frames.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// MaxFrameBytes bounds one frame.
	MaxFrameBytes = 32 << 20

	// writeTimeout ends a connection whose peer takes no more bytes.
	writeTimeout = 5 * time.Second

	// handlersPerConn bounds the calls that one peer may have running.
	handlersPerConn = 256
)

// ErrClosed is the cause of errors on a connection that has ended.
const ErrClosed = errors.ConstError("the connection to the member has ended")

type (
	// Peer says who is at the other end.
	Peer struct {
		ID     string `json:"id"`
		Region string `json:"region"`
		Zone   string `json:"availability_zone"`
	}

	// Handler answers the messages of a peer. The reply to a notice is dropped.
	// Messages of KindReplica are handed over one by one, in order, so they must
	// not be held up; all others come concurrently.
	Handler interface {
		Handle(ctx context.Context, c *Conn, kind Kind, body cbor.RawMessage) (any, error)
	}

	// Conn is one connection to a member.
	Conn struct {
		peer    Peer
		ws      *websocket.Conn
		handler Handler
		slots   chan struct{}
		done    chan struct{}

		mu      sync.Mutex
		last    uint64
		waiting map[uint64]chan frame
		closed  bool
	}

	// frame is what one WebSocket message holds. ID is 0 for a notice.
	frame struct {
		ID      uint64          `json:"id,omitempty"`
		Reply   bool            `json:"reply,omitempty"`
		Kind    Kind            `json:"kind,omitempty"`
		Problem *Problem        `json:"problem,omitempty"`
		Body    cbor.RawMessage `json:"body,omitempty"`
	}
)

func newConn(peer Peer, ws *websocket.Conn, h Handler) *Conn {
	ws.SetReadLimit(MaxFrameBytes)
	return &Conn{
		peer: peer, ws: ws, handler: h,
		slots:   make(chan struct{}, handlersPerConn),
		done:    make(chan struct{}),
		waiting: make(map[uint64]chan frame),
	}
}

// Peer says who is at the other end.
func (c *Conn) Peer() Peer { return c.peer }

// Call sends a message and reads the answer into reply, which may be nil. The
// error is a *Problem when the peer refused.
func (c *Conn) Call(ctx context.Context, kind Kind, message, reply any) error {
	id, answer, err := c.register()
	if err != nil {
		return err
	}
	defer c.unregister(id)
	if err := c.send(ctx, frame{ID: id, Kind: kind}, message); err != nil {
		return err
	}
	select {
	case f, ok := <-answer:
		if !ok {
			return errors.Trace(ErrClosed)
		}
		return f.read(reply)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Notify sends a message without waiting for an answer.
func (c *Conn) Notify(ctx context.Context, kind Kind, message any) error {
	return c.send(ctx, frame{Kind: kind}, message)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection at once.
func (c *Conn) Close() { c.ws.CloseNow() } //nolint:errcheck // nothing is left to do with it

// Run reads and answers messages until the connection or the context ends.
func (c *Conn) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.shut()
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return errors.Annotatef(err, "member %s", c.peer.ID)
		}
		received.Add(int64(len(data)))
		var f frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			return errors.Annotatef(err, "member %s: frame", c.peer.ID)
		}
		if f.Reply {
			c.deliver(f)
			continue
		}
		c.slots <- struct{}{}
		if f.Kind == KindReplica {
			c.answer(ctx, f)
			continue
		}
		go c.answer(ctx, f)
	}
}

func (c *Conn) answer(ctx context.Context, f frame) {
	defer func() { <-c.slots }()
	reply, err := c.handler.Handle(ctx, c, f.Kind, f.Body)
	if f.ID == 0 {
		return
	}
	out := frame{ID: f.ID, Reply: true}
	if err != nil {
		out.Problem = problemOf(err)
		reply = nil
	}
	if err := c.send(ctx, out, reply); err != nil {
		c.ws.CloseNow() //nolint:errcheck // the connection has failed already
	}
}

func (c *Conn) send(ctx context.Context, f frame, message any) error {
	if message != nil {
		body, err := cbor.Marshal(message)
		if err != nil {
			return errors.Annotatef(err, "message %s", f.Kind)
		}
		f.Body = body
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sent.Add(int64(len(data)))
	return errors.Trace(c.ws.Write(ctx, websocket.MessageBinary, data))
}

func (c *Conn) register() (uint64, chan frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, errors.Trace(ErrClosed)
	}
	c.last++
	answer := make(chan frame, 1)
	c.waiting[c.last] = answer
	return c.last, answer, nil
}

func (c *Conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *Conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.waiting[f.ID]; ok {
		answer <- f
		delete(c.waiting, f.ID)
	}
}

// shut ends all calls that wait for an answer.
func (c *Conn) shut() {
	c.ws.CloseNow() //nolint:errcheck // nothing is left to do with it
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	close(c.done)
	for id, answer := range c.waiting {
		close(answer)
		delete(c.waiting, id)
	}
}

func (f frame) read(reply any) error {
	if f.Problem != nil {
		return f.Problem
	}
	if reply == nil {
		return nil
	}
	return errors.Trace(cbor.Unmarshal(f.Body, reply))
}

func problemOf(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Code: CodeInternal, Detail: err.Error()}
}
