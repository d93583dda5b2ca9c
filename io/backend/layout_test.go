package backend

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"rosereach/core/version"
)

var small = version.Ref{Model: "small", Version: "v1"}

func newTestLayout(t testing.TB, id string) Layout {
	t.Helper()
	data, err := json.Marshal(NewChunk(id, small, time.Unix(1_800_000_000, 0), 3, "x"))
	if err != nil {
		t.Fatal(err)
	}
	l, ok := ParseLayout(data)
	if !ok {
		t.Fatalf("no layout of %s", data)
	}
	return l
}

// A chunk that is written with a layout decodes to the same offset and text, both
// with the JSON library and with the layout.
func TestLayoutProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		text := rapid.String().Draw(t, "text")
		offset := rapid.Int64Range(0, 1<<50).Draw(t, "offset")
		first, err := json.Marshal(NewChunk(id, small, time.Unix(1_800_000_000, 0), 0, "x"))
		if err != nil {
			t.Fatal(err)
		}
		l, ok := ParseLayout(first)
		if !ok {
			t.Fatalf("no layout of %s", first)
		}
		event := l.Append(nil, offset, text)
		var chunk Chunk
		if err := json.Unmarshal(event, &chunk); err != nil {
			t.Fatalf("%s: %v", event, err)
		}
		if diff := cmp.Diff(NewChunk(id, small, time.Unix(1_800_000_000, 0), offset, text), chunk); diff != "" {
			t.Fatal(diff)
		}
		if p, ok := l.Parse(event); ok && (p != Piece{Offset: offset, Text: text}) {
			t.Fatalf("read %+v", p)
		}
	})
}

// A layout does not decode chunks that differ in more than offset and text
// without escapes, and chunks without such fields in that order have no layout.
func TestLayoutRefuses(t *testing.T) {
	l := newTestLayout(t, "a")
	for name, event := range map[string]string{
		"other id":       string(newTestLayout(t, "b").Append(nil, 1, "x")),
		"escaped text":   string(l.Append(nil, 1, "a\nb")),
		"no text":        string(l.Append(nil, 1, "")),
		"negative":       string(l.Append(nil, -1, "x")),
		"usage":          string(l.head) + `x"},"finish_reason":null}],"offset":1,"usage":{}}`,
		"cut":            string(l.head) + "x",
		"leading zero":   string(l.head) + "x" + string(l.middle) + "01" + string(l.tail),
		"nothing":        "",
		"trailing bytes": string(l.Append(nil, 1, "x")) + " ",
	} {
		if p, ok := l.Parse([]byte(event)); ok {
			t.Errorf("%s: read %+v", name, p)
		}
	}
	for _, event := range []string{"", "{}", `{"content":"x"}`, `{"offset":1,"content":"x"}`, `{"x":{"content":"y","offset":1}}`} {
		if _, ok := ParseLayout([]byte(event)); ok {
			t.Errorf("layout of %q", event)
		}
	}
}

// BenchmarkRead compares decoding a chunk with a layout and with the JSON library.
func BenchmarkRead(b *testing.B) {
	l := newTestLayout(b, "a")
	event := l.Append(nil, 12, "token ")
	b.Run("layout", func(b *testing.B) {
		for b.Loop() {
			l.Parse(event)
		}
	})
	b.Run("json", func(b *testing.B) {
		for b.Loop() {
			parseChunk(event, "a") //nolint:errcheck // it was checked before
		}
	})
}
