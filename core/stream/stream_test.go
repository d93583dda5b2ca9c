package stream_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"rosereach/core/stream"
)

// push adds a text that must not be too long.
func push(t rapid.TB, s *stream.Splitter, text string) []stream.Event {
	t.Helper()
	events, err := s.Push([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func TestEventsAreCompleteForAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		var text string
		for id := 1; id <= n; id++ {
			text += event(id)
		}
		var s stream.Splitter
		var got string
		var last uint64
		for len(text) > 0 {
			take := rapid.IntRange(1, len(text)).Draw(t, "bytes")
			for _, e := range push(t, &s, text[:take]) {
				if e.ID != last+1 {
					t.Fatalf("event %d after %d", e.ID, last)
				}
				last = e.ID
				got += string(e.Raw)
			}
			text = text[take:]
		}
		if last != uint64(n) || s.Buffered() != 0 {
			t.Fatalf("last event %d of %d, rest %d, got %q", last, n, s.Buffered(), got)
		}
	})
}

func TestIncompleteEventIsNotReturned(t *testing.T) {
	var s stream.Splitter
	events := push(t, &s, event(1)+"id: 2\ndata: pie")
	if len(events) != 1 || s.Buffered() == 0 {
		t.Fatalf("%d events, rest %d", len(events), s.Buffered())
	}
}

// Bytes that are no event were taken for the beginning of the next one, and for an event.
func TestBytesBehindTheLastEvent(t *testing.T) {
	for text, want := range map[string]struct {
		id            uint64
		atEnd, begins bool
	}{
		"":                                {0, true, false},
		"\n":                              {0, true, false},
		": ping":                          {0, true, false},
		": ping\n: p":                     {0, true, false},
		"id: 2\nda":                       {2, false, true},
		": ping\nid: 2\n":                 {2, false, true},
		"id: 2":                           {0, false, true},
		"i":                               {0, false, true},
		"data:":                           {0, false, true},
		"weight-versions: 7\nid":          {0, false, true},
		"\x00\xf1 wrong":                  {0, false, false},
		"HTTP/1.1 200 OK\r\nId: id-1\r\n": {0, false, false},
	} {
		var s stream.Splitter
		push(t, &s, event(1)+text)
		if id, begins := s.Partial(); id != want.id || begins != want.begins || s.IsAtEnd() != want.atEnd {
			t.Errorf("%q: id %d, begins %v, at its end %v", text, id, begins, s.IsAtEnd())
		}
	}
	for raw, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n": false, "no such run\n\n": false, "no such run: 1\n\n": false,
		": ping\n\n": true, "retry: 5\n\n": true, "data\n\n": true, "\n\n": true, "x-weight: 7\nid: 5\ndata\n\n": true,
	} {
		var s stream.Splitter
		o := stream.NewSequencer(4)
		for _, e := range push(t, &s, raw) {
			if isNew, err := o.Admit(e); isNew != want || errors.Is(err, stream.ErrNoEvent) == want {
				t.Errorf("%q: passed %v, %v", raw, isNew, err)
			}
		}
	}
}

func TestSequencerAfterResume(t *testing.T) {
	o := stream.NewSequencer(3)
	if pass, err := o.Admit(stream.Event{ID: 3}); pass || err != nil {
		t.Fatal("a duplicate event is passed")
	}
	if pass, err := o.Admit(stream.Event{ID: 4}); !pass || err != nil {
		t.Fatal("the next event is not passed")
	}
	if _, err := o.Admit(stream.Event{ID: 6}); !errors.Is(err, stream.ErrGap) {
		t.Fatalf("error for a gap is %v, want ErrGap", err)
	}
}

// Ids grow, by how much is the servers' choice. Two that show the same gap have nothing between.
func TestSequencerOfJumpingIDs(t *testing.T) {
	o := stream.NewSequencer(3).WithJumps()
	for id, want := range map[uint64]bool{2: false, 3: false} {
		if pass, err := o.Admit(stream.Event{ID: id}); pass != want || err != nil {
			t.Errorf("event %d: %v, %v", id, pass, err)
		}
	}
	for _, id := range []uint64{5, 9, 10} {
		if pass, err := o.Admit(stream.Event{ID: id}); !pass || err != nil {
			t.Errorf("event %d: %v, %v", id, pass, err)
		}
	}
	gap := stream.Gap{Server: "a", After: 3, Before: 5}
	for other, want := range map[stream.Gap]bool{
		{Server: "b", After: 3, Before: 5}: true, gap: false, {}: false,
		{Server: "b", After: 3, Before: 6}: false, {Server: "b", After: 2, Before: 5}: false,
	} {
		if gap.IsAt(other) != want {
			t.Errorf("%+v: %v", other, !want)
		}
	}
}

// An event without an end is refused, with the complete ones before it passed on.
func TestEndlessEventIsRefused(t *testing.T) {
	var s stream.Splitter
	events, err := s.Push([]byte(event(1) + "id: 2\ndata: "))
	if len(events) != 1 || err != nil {
		t.Fatalf("%d events, %v", len(events), err)
	}
	piece := []byte(strings.Repeat("x", 32<<10))
	for n := len(piece); err == nil; n += len(piece) {
		if n > stream.MaxEventBytes+2*len(piece) {
			t.Fatalf("%d bytes of one event are kept", n)
		}
		_, err = s.Push(piece)
	}
	if !errors.Is(err, stream.ErrTooLong) {
		t.Fatal(err)
	}
}

// The buffer of a large event is not kept for the small part of the next one.
func TestSentEventIsNotKept(t *testing.T) {
	const n = 100
	event := []byte("data: " + strings.Repeat("x", 512<<10) + "\n\ndata: y")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	splitters := make([]stream.Splitter, n)
	for i := range splitters {
		if _, err := splitters[i].Push(event); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > n*64<<10 {
		t.Errorf("%d splitters hold %d bytes", n, held)
	}
	runtime.KeepAlive(splitters)
}

// A stream that begins with a byte order mark was taken for something else than events.
func TestByteOrderMarkBeginsAStream(t *testing.T) {
	var s stream.Splitter
	events, err := s.Push([]byte("\ufeffdata: 1\n\nid: 2\ndata: 2\n\n"))
	if err != nil || len(events) != 2 {
		t.Fatal(events, err)
	}
	order := stream.NewSequencer(0)
	for _, e := range events {
		if ok, err := order.Admit(e); !ok || err != nil {
			t.Errorf("%q: %v, %v", e.Raw, ok, err)
		}
	}
}
