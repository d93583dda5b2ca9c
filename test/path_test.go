package test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/request"
	"rosereach/io/caller"
)

func chat(model string, tokens int64, stream bool) caller.ChatRequest {
	return caller.ChatRequest{
		Model: model, MaxTokens: tokens, Stream: stream,
		Messages: []request.Message{{Role: "user", Content: "Summarise the berth log."}},
	}
}

// The whole request path over separate processes: a caller gets the addresses,
// connects, and receives a streamed answer. A POST request that is sent twice runs
// once. Both requests are billed once.
func TestPathOverProcesses(t *testing.T) {
	f := startFleet(t, 2)
	f.startEngine("engine-1", "small@v1")
	f.startService("ledger-1", "ledger")
	key := f.setUpDocuments("small@v1")
	ctx := context.Background()

	list, err := f.client(0, "").FindAddresses(ctx, "", "")
	if err != nil || len(list.Addresses) != 2 || list.TTLMs != 1000 {
		t.Fatalf("addresses: %+v, %v", list, err)
	}
	client := caller.Client{Address: list.Addresses[0], Key: key}
	answer, err := client.Chat(ctx, chat("auto", 20, true), caller.CallOptions{RequestID: "chat-1"})
	if err != nil || !answer.Complete || answer.Tokens != 20 || answer.Version != "small@v1" {
		t.Fatalf("chat: %+v, %v", answer, err)
	}
	if words := strings.Fields(answer.Text); len(words) != 20 || !strings.HasPrefix(words[19], "t19.small@v1.") {
		t.Errorf("text of the chat: %q", answer.Text)
	}
	for range 2 {
		posted, err := client.Service(ctx, "ledger", http.MethodPost, "/invoices", []byte(`{}`), caller.CallOptions{RequestID: "post-1"})
		if err != nil || posted.Outcome() != request.Done || !strings.Contains(posted.Text, `"request_id":"post-1"`) {
			t.Fatalf("posting: %+v, %v", posted, err)
		}
	}
	if runs := f.runs("ledger-1"); len(runs) != 1 {
		t.Errorf("runs of the posting, which must run once: %+v", runs)
	}
	bills, err := f.operator.Bills(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	var billed []string
	for _, b := range bills {
		billed = append(billed, b.Key.RequestID)
	}
	if diff := cmp.Diff([]string{"chat-1", "post-1"}, billed); diff != "" {
		t.Error(diff)
	}
	for _, e := range f.entries {
		if code := e.terminate(); code != 0 {
			t.Errorf("entry's exit code %d\n%s", code, e.stderr)
		}
	}
}

// Invalid requests are refused with the right status, code and not_run, and cause
// neither a run nor a bill.
func TestBadInput(t *testing.T) {
	f := startFleet(t, 1)
	f.startEngine("engine-1", "small@v1,large@v1")
	f.startService("ledger-1", "ledger")
	key := f.setUpDocuments("small@v1", "large@v1")
	large := `{"model":"small","messages":[{"role":"user","content":"` + strings.Repeat("x", 2<<20) + `"}]}`
	for _, tc := range []struct {
		name, key, path, body, session string
		status                         int
		code                           request.Code
	}{
		{"broken JSON", key, "/v1/chat/completions", `{"model":`, "", 400, request.CodeBadRequest},
		{"no messages", key, "/v1/chat/completions", `{"model":"small"}`, "", 400, request.CodeBadRequest},
		{"no key", "", "/v1/chat/completions", `{}`, "", 401, request.CodeUnauthorized},
		{"wrong key", "nonsense", "/v1/chat/completions", `{}`, "", 401, request.CodeUnauthorized},
		{"model not permitted", key, "/v1/chat/completions", `{"model":"large@v1","messages":[{"role":"user","content":"x"}]}`, "", 403, request.CodeNotPermitted},
		{"unknown version", key, "/v1/chat/completions", `{"model":"small@v9","messages":[{"role":"user","content":"x"}]}`, "", 404, request.CodeUnknownModel},
		{"body over the limit", key, "/v1/chat/completions", large, "", 413, request.CodeTooLarge},
		{"unknown service", key, "/v1/services/cellar/x", `{}`, "", 404, request.CodeUnknownService},
		{"foreign session", key, "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"x"}]}`, "a.b.c", 400, request.CodeBadSession},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.entries[0].address+tc.path, strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			if tc.key != "" {
				req.Header.Set("Authorization", "Bearer "+tc.key)
			}
			if tc.session != "" {
				req.Header.Set(caller.HeaderSession, tc.session)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			p := readProblem(t, resp)
			if resp.StatusCode != tc.status || p.Code != tc.code || p.Outcome != request.NotRun {
				t.Errorf("status %d, problem %+v", resp.StatusCode, p)
			}
		})
	}
	if runs := append(f.runs("engine-1"), f.runs("ledger-1")...); len(runs) != 0 {
		t.Errorf("runs: %+v", runs)
	}
	if bills, err := f.operator.Bills(context.Background(), 0); err != nil || len(bills) != 0 {
		t.Errorf("bills: %+v, %v", bills, err)
	}
}

// All invalid settings are reported together, with exit code 2.
func TestBadSettings(t *testing.T) {
	code, out := runProgram(t, "entry", "--listen", "nowhere", "--address-ttl", "soon", "--max-running", "0")
	if code != 2 {
		t.Errorf("exit code %d", code)
	}
	for _, name := range []string{"--listen", "--id", "--region", "--controls", "--member-key", "--address-ttl", "--max-running"} {
		if !strings.Contains(out, name+": ") {
			t.Errorf("%s is not reported in:\n%s", name, out)
		}
	}
}
