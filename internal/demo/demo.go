package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/change"
	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/io/caller"
	"rosereach/io/operator"
)

const (
	// callers is how many requests are under way at once.
	callers = 8

	// longestRun bounds the whole demo.
	longestRun = 30 * time.Second

	maxAnswerTokens = 40
)

type (
	// Options are the settings of a run.
	Options struct {
		Requests int
		Seed     uint64
	}

	// sent is one request of the run and what its caller saw.
	sent struct {
		id         string
		plain      bool
		idempotent bool
		resent     bool
		reply      caller.Reply
		err        error
	}

	// run is one run of the demo.
	run struct {
		opts      Options
		cluster   *cluster
		customers []customer

		mu          sync.Mutex
		random      *rand.Rand
		done        []sent
		withdrawnAt time.Time
	}
)

// Run runs the demo and returns what it counted.
func Run(ctx context.Context, opts Options) (Summary, error) {
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	folder, err := os.MkdirTemp("", "rosereach-demo-")
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does no harm
	running, stop := context.WithCancel(ctx)
	defer stop()
	c, err := startCluster(running, folder)
	if err != nil {
		return Summary{}, err
	}
	summary, err := drive(ctx, c, opts)
	stop()
	if stopErr := c.group.Wait(); err == nil {
		err = stopErr
	}
	return summary, err
}

func drive(ctx context.Context, c *cluster, opts Options) (Summary, error) {
	if err := c.waitReady(ctx); err != nil {
		return Summary{}, err
	}
	customers, err := setUp(ctx, c)
	if err != nil {
		return Summary{}, err
	}
	r := &run{opts: opts, cluster: c, customers: customers, random: rand.New(rand.NewPCG(opts.Seed, 0))}
	if err := r.sendHalves(ctx); err != nil {
		return Summary{}, err
	}
	bills, err := allBills(ctx, c.operator)
	if err != nil {
		return Summary{}, err
	}
	return count(r.done, bills, c.runs(), small2, r.withdrawnAt), nil
}

// sendHalves sends all requests and withdraws a version half-way, while
// requests are under way.
func (r *run) sendHalves(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(callers)
	for i := range r.opts.Requests {
		if i == r.opts.Requests/2 {
			go r.withdraw(ctx)
		}
		g.Go(func() error {
			r.send(ctx, i)
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Trace(err)
	}
	return nil
}

func (r *run) withdraw(ctx context.Context) {
	err := r.cluster.change(ctx, change.MoveVersion, small2.String(), change.Move{Trigger: string(version.ToWithdraw)})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawnAt = clock.WallClock.Now()
}

// send sends the i-th request: chats, streamed and plain, sessions, reads,
// postings and resends, in a mix that the seed fixes.
func (r *run) send(ctx context.Context, i int) {
	r.mu.Lock()
	kind := r.random.IntN(10)
	cu := r.customers[r.random.IntN(len(r.customers))]
	tokens := 4 + r.random.Int64N(maxAnswerTokens)
	address := r.cluster.places[r.random.IntN(len(r.cluster.places))]
	r.mu.Unlock()
	client := caller.Client{Address: address, Key: cu.key}
	s := sent{id: fmt.Sprintf("demo-%d-%d", r.opts.Seed, i), idempotent: true}
	opts := caller.CallOptions{RequestID: s.id}
	switch {
	case kind < 6:
		body := chatBody(i, tokens, kind < 4)
		if kind == 5 {
			opts.Session, s.err = client.OpenSession(ctx, request.AutoModel, caller.CallOptions{RequestID: s.id + "-session"})
		}
		s.reply, s.err = client.Chat(ctx, body, opts)
	case kind < 8:
		s.plain, s.idempotent = true, false
		s.reply, s.err = client.Service(ctx, cu.service, cu.method, "/items/7", []byte(`{"amount":12}`), opts)
	default:
		s.plain = true
		s.reply, s.err = client.Service(ctx, cu.service, "GET", "/items/7", nil, opts)
	}
	if i%10 == 0 {
		s.resent = true
		if s.plain && !s.idempotent {
			s.reply, s.err = client.Service(ctx, cu.service, cu.method, "/items/7", []byte(`{"amount":12}`), opts)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, s)
}

func chatBody(i int, tokens int64, stream bool) caller.ChatRequest {
	return caller.ChatRequest{
		Model: request.AutoModel, MaxTokens: tokens, Stream: stream,
		Messages: []request.Message{
			{Role: "system", Content: "Answer shortly and name the street."},
			{Role: "user", Content: fmt.Sprintf("Which shops on street %d stand empty?", i%7)},
		},
	}
}

func allBills(ctx context.Context, client operator.Client) ([]ledger.Bill, error) {
	var all []ledger.Bill
	for {
		page, err := client.Bills(ctx, uint64(len(all)))
		if err != nil || len(page) == 0 {
			return all, errors.Trace(err)
		}
		all = append(all, page...)
	}
}
