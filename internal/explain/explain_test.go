package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"rosereach/internal/explain"
)

const entryLog = `level=info part=entry ts=2026-01-01T10:00:00.100Z msg="Documents come into force." revision=30 before=28
level=info part=entry ts=2026-01-01T10:00:05.000Z msg="Documents come into force." revision=32 before=30
level=debug part=entry ts=2026-01-01T10:00:06.000Z msg="Request is admitted." id=a1 route=r plan=32 left=6s
level=debug part=entry ts=2026-01-01T10:00:06.001Z msg="Attempt is placed." id=a1 send=1 srv=i-1 plan=32
level=debug part=entry ts=2026-01-01T10:00:06.002Z msg="Request is admitted." id=b2 route=r plan=32
level=warn part=entry ts=2026-01-01T10:00:06.500Z msg="Attempt brings no answer." id=a1 srv=i-1 out=unknown err="no answer: \"reset\""
level=warn part=entry ts=2026-01-01T10:00:06.501Z msg="Request ends." id=a1 srv= err="gateway: the answer is lost"
level=warn part=entry ts=2026-01-01T10:00:0
panic: something foreign
`

const controlLog = `   6.0400 core-1 level=info part=control ts=2026-01-01T10:00:06.400Z msg="Backend server goes." server=i-1
   6.0400 core-1 level=info part=control ts=2026-01-01T10:00:06.450Z msg="Backend server changes." server=i-9 state=serving
   7.0400 core-1 level=info part=control ts=2026-01-01T10:00:09.450Z msg="Backend server changes." server=i-1 state=serving
`

func read(t *testing.T) *explain.Log {
	t.Helper()
	var l explain.Log
	for name, text := range map[string]string{"entry.log": entryLog, "control.log": controlLog} {
		if err := l.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return &l
}

func TestTimelineHoldsDecisionsAndStateChanges(t *testing.T) {
	l := read(t)
	var got []string
	for _, line := range l.Timeline("a1") {
		got = append(got, line.Source+" "+line.Get("msg"))
	}
	want := []string{
		"entry.log Documents come into force.", "entry.log Request is admitted.", "entry.log Attempt is placed.",
		"core-1 Backend server goes.", "entry.log Attempt brings no answer.", "entry.log Request ends.",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("the timeline is\n%s", strings.Join(got, "\n"))
	}
}

func TestTruncatedAndForeignLinesAreCounted(t *testing.T) {
	if n := read(t).Skipped(); n != 2 {
		t.Fatalf("%d lines skipped, want 2", n)
	}
}

func TestUnknownRequestHasNoTimeline(t *testing.T) {
	if s := read(t).Timeline("none"); len(s) != 0 {
		t.Fatal(s)
	}
}

func ExampleLog_Timeline() {
	var l explain.Log
	if err := l.Read("entry.log", strings.NewReader(entryLog)); err != nil {
		fmt.Println(err)
	}
	for _, line := range l.Timeline("b2") {
		fmt.Println(line)
	}
	// Output:
	// 10:00:05.000  entry.log              Documents come into force. revision=32 before=30
	// 10:00:06.002  entry.log              Request is admitted. id=b2 route=r plan=32
}
