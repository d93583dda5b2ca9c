package test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/change"
	"rosereach/core/workspace"
	"rosereach/internal/control"
	"rosereach/internal/entry"
	"rosereach/io/backend"
	"rosereach/io/caller"
	"rosereach/io/member"
)

// sendRequest sends one request and returns the status and the body of its answer.
func sendRequest(t *testing.T, method, address, path, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// isAuthorized reports whether a route accepts the key. Members are authenticated after
// the WebSocket handshake.
func isAuthorized(t *testing.T, method, address, path, key, body string) bool {
	t.Helper()
	if path == member.Path {
		_, err := member.Dial(t.Context(), address, key, member.Peer{ID: "stranger"}, nil)
		return err == nil
	}
	status, _ := sendRequest(t, method, address, path, key, body)
	return status != http.StatusUnauthorized && status != http.StatusForbidden
}

// routes lists all routes of entry and control that require a key, in the form used
// by the table of TestKeysAtEveryRoute.
func routes(t *testing.T) []string {
	t.Helper()
	node, err := control.Open(control.Config{ID: "control-1", Folder: t.TempDir(), Clock: clock.WallClock, Logger: log.NewNopLogger()})
	if err != nil {
		t.Fatal(err)
	}
	handlers := map[string]http.Handler{
		"entry": entry.New(entry.Config{Clock: clock.WallClock}).Handler(), "control": node.Handler(),
	}
	parameters := strings.NewReplacer("{id}", "nobody", "{service}/*", "ledger/x", "{service}", "ledger")
	seen := make(map[string]bool)
	for part, h := range handlers {
		err := chi.Walk(h.(chi.Routes), func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
			open := route == "/v1/addresses"
			service := strings.Contains(route, "{service}")
			if !open && (!service || method == http.MethodGet && strings.HasSuffix(route, "*") || method == http.MethodPost && !strings.HasSuffix(route, "*")) {
				seen[part+" "+method+" "+parameters.Replace(route)] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// addOperator creates an operator with a role and returns a key of the operator.
func (f *fleet) addOperator(name, role string) string {
	f.t.Helper()
	f.change(change.PutOperator, name, fmt.Sprintf(`{"name":%q,"role":%q}`, name, role))
	key := rand.Text()
	f.change(change.AddOperatorKey, name, fmt.Sprintf(`{"hash":%q}`, workspace.HashKey(key)))
	return key
}

// No route of entry and control accepts a key that is missing, wrong, revoked, or
// meant for another kind of route or another workspace.
func TestKeysAtEveryRoute(t *testing.T) {
	f := startFleet(t, 1)
	f.startEngine("engine-1", "small@v1")
	f.startService("ledger-1", "ledger")
	caller1 := f.setUpDocuments("small@v1")
	f.change(change.PutTemplate, "reading", `{"name":"reading","policy":{"allow":["small@*"]}}`)
	f.change(change.PutWorkspace, "vitrina", `{"name":"vitrina","template":"reading","values":{}}`)
	other, revoked := rand.Text(), rand.Text()
	hash := func(key string) string { return fmt.Sprintf(`{"hash":%q}`, workspace.HashKey(key)) }
	f.change(change.AddKey, "vitrina", hash(other))
	f.change(change.AddKey, "terminalna", hash(revoked))
	f.change(change.RemoveKey, "terminalna", hash(revoked))
	reader, monitor, changer := f.addOperator("rita", "reader"), f.addOperator("mona", "monitor"), f.addOperator("otto", "operator")
	revokedOperator, closed := f.addOperator("vera", "operator"), f.addOperator("carl", "operator")
	f.change(change.RemoveOperatorKey, "vera", hash(revokedOperator))
	f.change(change.PutOperator, "carl", `{"name":"carl","role":"operator","closed":true}`)

	session, err := f.client(0, caller1).OpenSession(context.Background(), "auto", caller.CallOptions{RequestID: "s-1"})
	if err != nil {
		t.Fatal(err)
	}
	entry, control := f.entries[0].address, f.controls[0].address
	invalid := map[string]string{"none": "", "wrong": "nonsense", "member's": f.memberKey}
	callers := map[string]string{"caller's": caller1, "another caller's": other, "revoked caller's": revoked}
	operators := map[string]string{
		"bootstrap": f.operator.Key, "reader's": reader, "monitor's": monitor, "operator's": changer,
		"revoked operator's": revokedOperator, "closed operator's": closed,
	}
	backendServers := map[string]string{"backend server's": f.backendKey}
	covered := make(map[string]bool)
	parts := map[string]string{entry: "entry", control: "control"}
	for _, tc := range []struct {
		method, address, path, body string
		allowed                     string
	}{
		{"POST", entry, "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"x"}]}`, "caller's, another caller's"},
		{"POST", entry, "/v1/sessions", `{"model":"auto"}`, "caller's, another caller's"},
		{"GET", entry, "/v1/services/ledger/x", "", "caller's"},
		{"POST", entry, "/v1/services/ledger", "{}", "caller's"},
		{"POST", entry, backend.PathAnnounce, "{}", "backend server's"},
		{"GET", entry, member.Path, "", "member's"},
		{"GET", control, member.Path, "", "member's"},
		{"GET", control, "/v1/controls", "", "bootstrap, reader's, monitor's, operator's"},
		{"POST", control, "/v1/controls", "{", "bootstrap, operator's"},
		{"DELETE", control, "/v1/controls/nobody", "", "bootstrap, operator's"},
		{"POST", control, "/v1/changes", "{}", "bootstrap, operator's"},
		{"POST", control, "/v1/changes?dry_run=true", "{}", "bootstrap, operator's"},
		{"GET", control, "/v1/documents", "", "bootstrap, reader's, monitor's, operator's"},
		{"GET", control, "/v1/status", "", "bootstrap, reader's, monitor's, operator's"},
		{"GET", control, "/debug/vars", "", "bootstrap, reader's, monitor's, operator's"},
		{"GET", control, "/v1/bills", "", "bootstrap, monitor's, operator's"},
		{"GET", control, "/v1/audit", "", "bootstrap, monitor's, operator's"},
		{"GET", control, "/v1/requests", "", "bootstrap, monitor's, operator's"},
	} {
		allowed := strings.Split(tc.allowed, ", ")
		path, _, _ := strings.Cut(tc.path, "?")
		covered[parts[tc.address]+" "+tc.method+" "+path] = true
		for _, keys := range []map[string]string{invalid, callers, operators, backendServers} {
			for name, key := range keys {
				in, want := isAuthorized(t, tc.method, tc.address, tc.path, key, tc.body), false
				for _, a := range allowed {
					want = want || a == name
				}
				if in != want {
					t.Errorf("%s %s with %s key: accepted %t", tc.method, tc.path, name, in)
				}
			}
		}
	}
	for _, route := range routes(t) {
		if !covered[route] {
			t.Errorf("route %s is not in the table", route)
		}
	}
	// A workspace can neither use a session of another one nor see the answer
	// to another workspace's request with the same id.
	answer, err := f.client(0, other).Chat(context.Background(), chat("auto", 4, false), caller.CallOptions{RequestID: "x-1", Session: session})
	if err != nil || answer.Status != http.StatusBadRequest {
		t.Errorf("another workspace's session: %+v, %v", answer, err)
	}
	one, err := f.client(0, caller1).Chat(context.Background(), chat("auto", 4, false), caller.CallOptions{RequestID: "same-id"})
	if err != nil {
		t.Fatal(err)
	}
	two, err := f.client(0, other).Chat(context.Background(), chat("auto", 5, false), caller.CallOptions{RequestID: "same-id"})
	if err != nil || two.Status != http.StatusOK || two.Text == one.Text {
		t.Errorf("the same request id of another workspace: %+v, %v", two, err)
	}
	trail, err := f.operator.FullTrail(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := trail.Verify(); err != nil {
		t.Error(err)
	}
	data, err := json.Marshal(trail)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"route/POST /v1/controls", `"actor":"rita"`, `"detail":"forbidden`, `"detail":"unauthorized`} {
		if !bytes.Contains(data, []byte(text)) {
			t.Errorf("%s is not in the audit trail", text)
		}
	}
	for _, keys := range []map[string]string{callers, operators} {
		for name, key := range keys {
			if bytes.Contains(data, []byte(key)) {
				t.Errorf("the %s key is in the audit trail", name)
			}
		}
	}
}

// No process logs a key or a request body, even at level debug.
func TestNoKeyOrBodyInLogs(t *testing.T) {
	t.Setenv("ROSEREACH_LOG_LEVEL", "debug")
	f := startFleet(t, 2)
	f.startEngine("engine-1", "small@v1")
	f.startService("ledger-1", "ledger")
	key := f.setUpDocuments("small@v1")
	secret := "body-" + rand.Text()
	ctx := context.Background()
	req := chat("auto", 4, true)
	req.Messages[0].Content = secret
	for i, k := range []string{key, "wrong-" + key} {
		if _, err := f.client(0, k).Chat(ctx, req, caller.CallOptions{RequestID: fmt.Sprint("c-", i)}); err != nil {
			t.Fatal(err)
		}
		if _, err := f.client(1, k).Service(ctx, "ledger", http.MethodPost, "/x?q="+secret, []byte(secret), caller.CallOptions{RequestID: fmt.Sprint("p-", i)}); err != nil {
			t.Fatal(err)
		}
	}
	sendRequest(t, http.MethodPost, f.entries[0].address, "/v1/chat/completions", key, `{"model":`+secret)
	sendRequest(t, http.MethodPost, f.controls[0].address, "/v1/changes", f.operator.Key, secret)
	f.backends["engine-1"].kill()
	f.backends["ledger-1"].kill()
	if _, err := f.client(0, key).Chat(ctx, req, caller.CallOptions{RequestID: "late"}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.client(0, key).Service(ctx, "ledger", http.MethodPost, "/x", []byte(secret), caller.CallOptions{RequestID: "late-p"}); err != nil {
		t.Fatal(err)
	}
	var lines int
	for _, p := range append(append([]*process{}, f.entries...), f.controls...) {
		p.terminate()
		out := p.stderr.String()
		lines += strings.Count(out, "\n")
		for _, text := range []string{secret, key, f.memberKey, f.backendKey, f.operator.Key} {
			if strings.Contains(out, text) {
				t.Errorf("%q is in the log:\n%s", text, out)
			}
		}
	}
	if lines == 0 {
		t.Error("the processes logged nothing")
	}
}
