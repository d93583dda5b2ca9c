package httpd

import (
	"io"
	"os"
	"testing"
)

func TestConclusionOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		state   answerState
		err     error
		left    int
		dropped int
		want    LostAnswer
		ok      bool
	}{
		"no request yet":            {want: LostAnswer{}},
		"its handler runs":          {state: answerRuns, err: io.ErrClosedPipe, left: 5},
		"whole":                     {state: answerSent, want: LostAnswer{"", AnswerSent, 0}, ok: true},
		"the client has gone":       {state: answerSent, err: io.ErrClosedPipe, left: 5, dropped: 3, want: LostAnswer{"", AnswerFailed, 5}, ok: true},
		"the client takes nothing":  {state: answerSent, err: os.ErrDeadlineExceeded, left: 5, want: LostAnswer{"", AnswerTimedOut, 5}, ok: true},
		"the kernel drops the rest": {state: answerSent, dropped: 3, want: LostAnswer{"", AnswerReset, 3}, ok: true},
		"the last chunk is missing": {state: answerEnds, want: LostAnswer{"", AnswerUnsent, 0}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := &answer{state: c.state, err: c.err, left: c.left}
			if got, ok := a.conclude(c.dropped); got != c.want || ok != c.ok {
				t.Errorf("%+v, %v; want %+v, %v", got, ok, c.want, c.ok)
			}
			if _, ok := a.conclude(c.dropped); ok {
				t.Error("it is concluded twice")
			}
		})
	}
}
