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

// Of the words of the servers that a request was kept from, those that held are shown,
// however old, and only those that its own entry heard.
func TestTimelineHoldsWordsOfServers(t *testing.T) {
	const text = `level=info part=entry ts=2026-01-01T10:00:01Z msg="Backend server says that it leaves." id=x server=i-1 word=leaves
level=info part=entry ts=2026-01-01T10:00:02Z msg="Backend server wants no requests." id=y server=i-2 word=held_off until=2026-01-01T10:01:02.5Z
level=info part=entry ts=2026-01-01T10:00:03Z msg="Backend server wants no requests." id=z server=i-2 word=held_off until=2026-01-01T10:00:30Z
level=info part=entry ts=2026-01-01T10:00:04Z msg="Backend server says that it leaves." id=x server=i-3 word=leaves
level=debug part=entry ts=2026-01-01T10:01:00Z msg="Attempt is withheld." id=a1 srv=i-1 why=leaves word_by=x
level=debug part=entry ts=2026-01-01T10:01:01Z msg="Request is kept from a backend server." id=a1 srv=i-2 word_by=y
`
	var l explain.Log
	for _, name := range []string{"entry.log", "other.log"} {
		lines := text
		if name == "other.log" {
			lines = strings.SplitAfter(text, "\n")[0]
		}
		if err := l.Read(name, strings.NewReader(lines)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, line := range l.Timeline("a1") {
		got = append(got, line.Source+" "+line.Get("msg")+" "+line.Get("id"))
	}
	want := []string{
		"entry.log Backend server says that it leaves. x", "entry.log Backend server wants no requests. y",
		"entry.log Attempt is withheld. a1", "entry.log Request is kept from a backend server. a1",
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

// A line without an end in sight, as a program that writes binary data leaves, hides no
// later line.
func TestLongLineIsSkipped(t *testing.T) {
	var l explain.Log
	text := strings.Repeat("x", 3<<20) + "\n" + entryLog
	if err := l.Read("entry.log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if len(l.Timeline("a1")) == 0 || l.Skipped() == 0 {
		t.Fatalf("%d lines of the request, %d skipped", len(l.Timeline("a1")), l.Skipped())
	}
}

// The lines of all processes that list the request or a part of its prompt are shown, however
// old, and none about others.
func TestTimelineHoldsListedParts(t *testing.T) {
	const text = `level=warn part=control ts=2026-01-01T09:00:00Z msg="Prompt part is quarantined." prompt=00aa service=s ends=3
level=warn part=control ts=2026-01-01T09:00:01Z msg="Prompt part is quarantined." prompt=00cc service=s ends=3
level=warn part=control ts=2026-01-01T09:00:02Z msg="Request is quarantined." digest=00dd service=s ends=3
level=warn part=control ts=2026-01-01T09:00:03Z msg="Request is quarantined." digest=00ee service=s ends=3
level=warn part=entry ts=2026-01-01T09:59:00Z msg="Backend server ended under a request." id=other prompt=00aa
level=warn part=entry ts=2026-01-01T10:00:00Z msg="Backend server ended under a request." id=a1 prompt=00bb,00aa digest=00dd
`
	var l explain.Log
	if err := l.Read("x", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if lines := l.Timeline("a1"); len(lines) != 3 || lines[0].Get("prompt") != "00aa" || lines[1].Get("digest") != "00dd" {
		t.Fatalf("%v", lines)
	}
}

// A request that was rejected for want of room is shown with what its process shed at that time.
func TestTimelineHoldsWhatWasShed(t *testing.T) {
	const text = `level=warn part=entry ts=2026-01-01T10:00:00Z msg="Requests of clients are shed." held=900 open=10 unfinished=9 stalled=3
level=warn part=entry ts=2026-01-01T10:01:00Z msg="Requests of clients are shed." held=1000 open=12 unfinished=11 no_room=2
level=warn part=entry ts=2026-01-01T10:01:01Z msg="Request is rejected." id=a1 code=overloaded
`
	var l explain.Log
	if err := l.Read("entry.log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if err := l.Read("other.log", strings.NewReader(text[:strings.Index(text, "Request is rejected.")])); err != nil {
		t.Fatal(err)
	}
	timeline := l.Timeline("a1")
	if len(timeline) != 2 || timeline[0].Get("held") != "1000" || timeline[0].Source != "entry.log" {
		t.Errorf("%v", timeline)
	}
}

// An answer that was lost after its end is explained, in a planned stop or not.
func TestLostAnswerIsExplained(t *testing.T) {
	const text = `level=info part=entry ts=2026-01-01T10:00:00Z msg="Entry drains." id=entry-1 phase=delisted since=300ns exit_in=7.3s running=1 lost=0
level=debug part=entry ts=2026-01-01T10:00:01Z msg="Request ends." id=a1 caller=chunks:whole err=null
level=warn part=entry ts=2026-01-01T10:00:01.001Z msg="Caller does not get the answer's end." id=a1 end=reset missing=512 entry=entry-1 phase=delisted since=1.001s exit_in=6.299s
`
	var l explain.Log
	if err := l.Read("entry.log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	timeline := l.Timeline("a1")
	if len(timeline) != 3 || len(explain.Stops(timeline)) != 0 {
		t.Errorf("%v", timeline)
	}
	const sentence = "Entry entry-1 had finished the answer, and its caller did not get its end: " +
		"the connection was closed with unread data of the caller, which resets it; 512 bytes or more are missing."
	if s := explain.Lost(timeline); len(s) != 1 || s[0] != sentence {
		t.Errorf("%q", s)
	}
}

// A request that a planned stop cut is shown with the phases of that stop at its entry, and of
// no earlier one.
func TestTimelineHoldsThePlannedStop(t *testing.T) {
	const text = `level=info part=entry ts=2026-01-01T09:00:00Z msg="Entry drains." id=entry-1 phase=delisted since=300ns exit_in=7.3s running=1
level=info part=entry ts=2026-01-01T10:00:00Z msg="Entry drains." id=entry-1 phase=delisted since=300ns exit_in=60s running=1
level=debug part=entry ts=2026-01-01T10:00:50Z msg="Attempt is placed." id=a1 srv=i-1
level=info part=entry ts=2026-01-01T10:01:00Z msg="Entry ends what still runs." id=entry-1 phase=ending since=60s exit_in=0s running=2
level=warn part=entry ts=2026-01-01T10:01:00.001Z msg="Request is cut by the stop." id=b2 entry=entry-1 stop=cut phase=ending since=60.001s exit_in=-1ms begun=true
level=warn part=entry ts=2026-01-01T10:01:00.002Z msg="Request is cut by the stop." id=a1 entry=entry-1 stop=cut phase=ending since=60.002s exit_in=-2ms expected=4s basis=history sent_since=50s begun=true srv=i-1 silent=6s run=3 of=3 spent=1 events=3
`
	var l explain.Log
	if err := l.Read("entry.log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if err := l.Read("other.log", strings.NewReader(strings.SplitAfter(text, "\n")[1])); err != nil {
		t.Fatal(err)
	}
	timeline := l.Timeline("a1")
	var got []string
	for _, line := range timeline {
		got = append(got, line.Source+" "+line.Get("msg")+" "+line.Get("id"))
	}
	want := []string{
		"entry.log Entry drains. entry-1", "entry.log Attempt is placed. a1", "entry.log Entry ends what still runs. entry-1", "entry.log Request is cut by the stop. a1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("the timeline is\n%s", strings.Join(got, "\n"))
	}
	const sentence = "The planned stop of entry entry-1: request cut in phase ending, 60.002s after the signal, 2ms past the exit time. " +
		"It was expected to take up to 4s (history). It was last sent 50s after the signal, to i-1; its answer had begun, with 3 events passed on. That server had sent nothing for 6s. Its route allows 3 attempts; 3 were used, 1 by choice."
	if s := explain.Stops(timeline); len(s) != 1 || s[0] != sentence {
		t.Errorf("%q", s)
	}
}
