// Package member is the protocol between rosereach's own processes: calls with
// replies and one-way notices, in CBOR frames of bounded size over WebSocket.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/encoding"
)

const (
	// MaxFrameBytes is the maximum size of a frame.
	MaxFrameBytes = 32 << 20

	// writeTimeout closes a connection whose peer reads no more data.
	writeTimeout = 5 * time.Second

	// maxConcurrentHandlers is the maximum number of messages of one peer that are
	// handled at the same time.
	maxConcurrentHandlers = 256
)

// ErrClosed is the cause of errors on a closed connection.
const ErrClosed = errors.ConstError("the connection to the member has ended")

type (
	// Peer identifies the process at one end of a connection.
	Peer struct {
		ID     string `json:"id"`
		Region string `json:"region"`
		Zone   string `json:"availability_zone"`
		// Incarnation is that of a control's data folder, 0 for other processes and for
		// builds that don't tell it.
		Incarnation uint64 `json:"incarnation,omitempty"`
		// Features are the features of changes that a control can apply. Those of builds
		// before there were any are empty.
		Features []change.Feature `json:"features,omitempty"`
	}

	// Handler handles the messages of a peer. The reply to a notice is dropped.
	// Messages of KindReplica are handled one at a time, in order, and block the
	// connection meanwhile, so Handle must return from them quickly. All other
	// messages are handled concurrently.
	Handler interface {
		Handle(ctx context.Context, c *Conn, kind Kind, body cbor.RawMessage) (any, error)
	}

	// Conn is one connection to a member.
	Conn struct {
		peer    Peer
		ws      *websocket.Conn
		handler Handler
		// handlerSlots limits the messages that are handled concurrently.
		handlerSlots chan struct{}
		done         chan struct{}

		mu sync.Mutex
		// lastID is the ID of the latest call.
		lastID uint64
		// pending holds a channel for the reply to each open call, by ID.
		pending map[uint64]chan frame
		closed  bool
	}

	// frame is the content of one WebSocket message.
	frame struct {
		// ID pairs a reply with its call. It is 0 for a notice.
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
		handlerSlots: make(chan struct{}, maxConcurrentHandlers),
		done:         make(chan struct{}),
		pending:      make(map[uint64]chan frame),
	}
}

// Peer returns the identity of the process at the other end.
func (c *Conn) Peer() Peer { return c.peer }

// Call sends a message, waits for the reply and decodes it into reply, which may
// be nil. The error is a *Problem if the peer returned one.
func (c *Conn) Call(ctx context.Context, kind Kind, message, reply any) error {
	id, replies, err := c.register()
	if err != nil {
		return err
	}
	defer c.unregister(id)
	if err := c.send(ctx, frame{ID: id, Kind: kind}, message); err != nil {
		return err
	}
	select {
	case f, ok := <-replies:
		if !ok {
			return errors.Trace(ErrClosed)
		}
		return f.decodeBody(reply)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Notify sends a one-way message.
func (c *Conn) Notify(ctx context.Context, kind Kind, message any) error {
	return c.send(ctx, frame{Kind: kind}, message)
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection without a closing handshake.
func (c *Conn) Close() { c.ws.CloseNow() } //nolint:errcheck // the connection is not used again

// Run reads and handles messages until the connection or the context ends. Open
// calls then fail with ErrClosed.
func (c *Conn) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.shutdown()
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return errors.Annotatef(err, "member %s", c.peer.ID)
		}
		bytesReceived.Add(int64(len(data)))
		var f frame
		if err := encoding.Unmarshal(data, &f); err != nil {
			return errors.Annotatef(err, "member %s: decode frame", c.peer.ID)
		}
		if f.Reply {
			c.deliver(f)
			continue
		}
		c.handlerSlots <- struct{}{}
		if f.Kind == KindReplica {
			c.handle(ctx, f)
			continue
		}
		go c.handle(ctx, f)
	}
}

// handle handles a message and replies to it unless it is a notice.
func (c *Conn) handle(ctx context.Context, f frame) {
	defer func() { <-c.handlerSlots }()
	reply, err := c.handler.Handle(ctx, c, f.Kind, f.Body)
	if f.ID == 0 {
		return
	}
	response := frame{ID: f.ID, Reply: true}
	if err != nil {
		response.Problem = newProblem(err)
		reply = nil
	}
	if err := c.send(ctx, response, reply); err != nil {
		c.ws.CloseNow() //nolint:errcheck // the connection has failed already
	}
}

// send writes the frame with the message, which may be nil, as its body.
func (c *Conn) send(ctx context.Context, f frame, message any) error {
	if message != nil {
		body, err := encoding.Marshal(message)
		if err != nil {
			return errors.Annotatef(err, "encode message %s", f.Kind)
		}
		f.Body = body
	}
	data, err := encoding.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	bytesSent.Add(int64(len(data)))
	return errors.Trace(c.ws.Write(ctx, websocket.MessageBinary, data))
}

// register assigns an ID to a call and returns the channel for its reply, which
// is closed when the connection ends.
func (c *Conn) register() (uint64, chan frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, errors.Trace(ErrClosed)
	}
	c.lastID++
	replies := make(chan frame, 1)
	c.pending[c.lastID] = replies
	return c.lastID, replies, nil
}

func (c *Conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliver passes a reply to its call. It drops the reply if the call has ended.
func (c *Conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replies, ok := c.pending[f.ID]; ok {
		replies <- f
		delete(c.pending, f.ID)
	}
}

// shutdown closes the connection and ends all calls that wait for a reply.
func (c *Conn) shutdown() {
	c.ws.CloseNow() //nolint:errcheck // the connection is not used again
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	close(c.done)
	for id, replies := range c.pending {
		close(replies)
		delete(c.pending, id)
	}
}

// decodeBody decodes the body into reply, which may be nil, or returns the problem.
func (f frame) decodeBody(reply any) error {
	if f.Problem != nil {
		return f.Problem
	}
	if reply == nil {
		return nil
	}
	return errors.Trace(encoding.Unmarshal(f.Body, reply))
}

func newProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Code: CodeInternal, Detail: err.Error()}
}
