package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/overload"
)

// answer is an answer that a simulated process receives.
type answer struct {
	conn    *overload.Connection
	yielded bool
}

// receive begins an answer to the request of a client.
func (w *world) receive(c *client) *answer {
	a := &answer{conn: w.account.Receive(w.now, c.conn)}
	a.conn.Evict = func() { a.yielded = true }
	return a
}

// bring lets n bytes of the answer arrive, and reports whether there was room.
func (w *world) bring(a *answer, n int64) bool {
	w.account.Read(w.now, a.conn)
	evicted, ok := w.account.Take(w.now, a.conn, n)
	for _, e := range evicted {
		e.Evict()
	}
	return ok
}

// asking returns a client whose request is complete.
func (w *world) asking() *client {
	c := w.connect(1<<10, 1<<10)
	w.sendAll(c)
	return c
}

// Servers that begin answers and never end them hold no more than their part. Ordinary requests are
// served beside them, and other answers once the first ones have stalled.
func TestCrowdOfUnfinishedAnswers(t *testing.T) {
	w := newWorld(t, limits)
	var first *answer
	for range 700 {
		a := w.receive(w.asking())
		if first == nil {
			first = a
		}
		for range 20 {
			if !w.bring(a, 10<<10) {
				break
			}
		}
	}
	if held := w.account.Bytes(); held > limits.Bytes {
		t.Errorf("%d bytes are held, %d are allowed", held, limits.Bytes)
	}
	for range 100 {
		c := w.connect(20<<10, 4<<10)
		if !w.sendAll(c) {
			t.Fatal("an ordinary request is shed")
		}
		w.close(c)
	}
	if w.bring(w.receive(w.asking()), 100<<10) || first.yielded {
		t.Error("an answer gets the room of answers that go on")
	}
	w.now = w.now.Add(limits.StallTime)
	if !w.bring(w.receive(w.asking()), 100<<10) || !first.yielded {
		t.Error("an answer gets no room beside stalled ones")
	}
	if w.bring(first, 1) {
		t.Error("an answer that has yielded goes on")
	}
}

// The only large answer always gets room, beside a large body of its own request as well.
func TestSingleAnswerIsTaken(t *testing.T) {
	w := newWorld(t, limits)
	c := w.connect(10*limits.Bytes, 1<<20)
	if !w.sendAll(c) || !w.bring(w.receive(c), limits.Bytes) {
		t.Error("a single large answer is shed")
	}
}

// An answer that its request keeps is held until the request has ended.
func TestKeptAnswerIsHeld(t *testing.T) {
	w := newWorld(t, limits)
	c := w.asking()
	before := w.account.Bytes()
	a := w.receive(c)
	w.bring(a, 100<<10)
	w.account.Keep(a.conn)
	w.account.Close(a.conn)
	if held := w.account.Bytes(); held != before+100<<10 {
		t.Errorf("%d bytes are held", held)
	}
	w.account.Await(w.now, c.conn)
	if held := w.account.Bytes(); held != 0 {
		t.Errorf("%d bytes are held when the request has ended", held)
	}
}

// Whatever servers do, the account stays within its limits and ends empty.
func TestAccountOfAnswersBalances(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		l := overload.Limits{Bytes: 1 << 20, Reserved: 1 << 18, SmallBytes: 1 << 14, Connections: 20, StallTime: time.Second}
		w := newWorld(t, l)
		var clients []*client
		var answers []*answer
		for range 20 {
			clients = append(clients, w.asking())
		}
		for range 2000 {
			w.now = w.now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			if len(answers) < 5 || random.IntN(10) == 0 {
				answers = append(answers, w.receive(clients[random.IntN(len(clients))]))
				continue
			}
			i := random.IntN(len(answers))
			a := answers[i]
			switch random.IntN(12) {
			case 0:
				w.account.Keep(a.conn)
				fallthrough
			case 1:
				w.account.Close(a.conn)
				answers = append(answers[:i], answers[i+1:]...)
			case 2:
				w.account.Return(a.conn, random.Int64N(1<<14))
			case 3:
				w.account.Release(clients[random.IntN(len(clients))].conn)
			default:
				w.bring(a, random.Int64N(1<<14))
			}
			if w.account.Bytes() > l.Bytes || w.account.Bytes() < 0 {
				t.Fatalf("seed %d: %d bytes", seed, w.account.Bytes())
			}
		}
		for _, a := range answers {
			w.account.Close(a.conn)
		}
		for _, c := range clients {
			w.close(c)
		}
		if open, reading := w.account.Connections(); w.account.Bytes() != 0 || open != 0 || reading != 0 {
			t.Fatalf("seed %d: %d bytes, %d connections, %d unfinished are left", seed, w.account.Bytes(), open, reading)
		}
	}
}
