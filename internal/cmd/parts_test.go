package cmd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rosereach/internal/httpd"
)

var errPart = errors.New("the part fails")

// untilEnd is a part that runs until its context ends.
func untilEnd(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// A part that failed, such as the listener of the metrics, cut the requests that ran beside it.
func TestFailedPartCutsNoRequest(t *testing.T) {
	l, err := httpd.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	began, goOn, fail, drained := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httpd.Server{
		Timeouts: httpd.Timeouts{Shutdown: func() time.Duration { return time.Minute }},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(began)
			select {
			case <-goOn:
				io.WriteString(w, "whole")
			case <-r.Context().Done():
			}
		}),
	}
	ended := make(chan error, 1)
	go func() {
		ended <- runParts(t.Context(), log.NewNopLogger(), func(stopping, running context.Context) error {
			accepting, stop := context.WithCancel(running)
			go func() {
				<-stopping.Done()
				close(drained)
				stop()
			}()
			return serveUntil(accepting, l, server)
		}, part{"sound", untilEnd}, part{"failing", func(context.Context) error {
			<-fail
			return errPart
		}})
	}()
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		answer <- string(body)
		if err != nil {
			t.Error(err)
		}
	}()
	<-began
	close(fail)
	select {
	case <-drained:
	case <-time.After(10 * time.Second):
		t.Fatal("no orderly stop begins")
	}
	close(goOn)
	if got := <-answer; got != "whole" {
		t.Errorf("%q", got)
	}
	if err := <-ended; !errors.Is(err, errPart) {
		t.Errorf("the process ends with %v", err)
	}
}

// The other parts run until the main part has ended: detours and readiness are asked for during a
// stop, too.
func TestPartsStayUntilTheMainPartHasEnded(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	err := runParts(ctx, log.NewNopLogger(), func(stopping, _ context.Context) error {
		stop()
		<-stopping.Done()
		select {
		case <-ended:
			t.Error("a part has ended before")
		case <-time.After(20 * time.Millisecond):
		}
		return nil
	}, part{"other", func(ctx context.Context) error {
		defer close(ended)
		return untilEnd(ctx)
	}})
	if err != nil {
		t.Error(err)
	}
}

// A part that has nothing to do and returns stops nothing.
func TestPartWithoutWorkStopsNothing(t *testing.T) {
	err := runParts(t.Context(), log.NewNopLogger(), func(stopping, _ context.Context) error {
		select {
		case <-stopping.Done():
			t.Error("the process stops")
		case <-time.After(20 * time.Millisecond):
		}
		return nil
	}, part{"idle", func(context.Context) error { return nil }})
	if err != nil {
		t.Error(err)
	}
}
