// Package test holds end-to-end tests that run real processes.
package test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosereach/core/change"
	"rosereach/core/version"
	"rosereach/core/workspace"
	"rosereach/internal/fake"
	"rosereach/io/caller"
	"rosereach/io/operator"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 60 * time.Second

// program is the path of the binary that TestMain builds.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "rosereach-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "rosereach")
	build := exec.Command("go", "build", "-o", program, "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s\n", out)
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

type (
	// process is a running rosereach process.
	process struct {
		t       testing.TB
		cmd     *exec.Cmd
		address string
		stderr  *lockedBuffer
		exited  chan struct{}
	}

	// fleet is a set of processes with the keys that they share.
	fleet struct {
		t          testing.TB
		memberKey  string
		backendKey string
		operator   operator.Client
		controls   []*process
		entries    []*process
		backends   map[string]*process
	}

	lockedBuffer struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startProcess starts the program and waits until it prints its listen address.
func startProcess(t testing.TB, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(program, args...), stderr: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Stderr = p.stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("%v printed no address: %v\n%s", args, err, p.stderr)
	}
	p.address = strings.TrimSpace(line)
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

// kill ends the process with SIGKILL. SIGCONT before it resumes a process that a
// test has stopped.
func (p *process) kill() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.exited
}

// terminate sends SIGTERM, waits for the process to exit and returns its exit
// code.
func (p *process) terminate() int {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("process did not exit after SIGTERM:\n%s", p.stderr)
	}
	return p.cmd.ProcessState.ExitCode()
}

// waitFor waits until the condition holds.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startFleet starts one control and the given number of entries, and waits for the
// entries' leases.
func startFleet(t testing.TB, entries int) *fleet {
	t.Helper()
	f := &fleet{t: t, memberKey: rand.Text(), backendKey: rand.Text(), backends: make(map[string]*process)}
	key := rand.Text()
	control := startProcess(t, "control", "--id", "control-1", "--data", t.TempDir(), "--member-key", f.memberKey, "--operator-key", key)
	f.controls = append(f.controls, control)
	f.operator = operator.Client{Address: control.address, Key: key}
	for i := range entries {
		f.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	waitFor(t, "leases of all entries", func() bool {
		s, err := f.operator.Status(context.Background())
		return err == nil && len(s.Entries) == entries
	})
	return f
}

func (f *fleet) startEntry(id string) *process {
	f.t.Helper()
	p := startProcess(f.t, "entry", "--id", id, "--region", "central", "--availability-zone", "sanjose",
		"--controls", f.controls[0].address, "--member-key", f.memberKey, "--backend-key", f.backendKey, "--address-ttl", "1s")
	f.entries = append(f.entries, p)
	return p
}

func (f *fleet) entryAddresses() string {
	var list []string
	for _, e := range f.entries {
		list = append(list, e.address)
	}
	return strings.Join(list, ",")
}

func (f *fleet) startEngine(id, versions string, more ...string) *process {
	f.t.Helper()
	args := append([]string{
		"fake", "engine", "--id", id, "--versions", versions, "--region", "central",
		"--availability-zone", "sanjose", "--entries", f.entryAddresses(), "--backend-key", f.backendKey, "--step-time", "1ms",
	}, more...)
	f.backends[id] = startProcess(f.t, args...)
	return f.backends[id]
}

func (f *fleet) startService(id, name string, more ...string) *process {
	f.t.Helper()
	args := append([]string{
		"fake", "service", "--id", id, "--service", name, "--region", "central",
		"--availability-zone", "sanjose", "--entries", f.entryAddresses(), "--backend-key", f.backendKey,
	}, more...)
	f.backends[id] = startProcess(f.t, args...)
	return f.backends[id]
}

// change makes a change. The test fails unless it is accepted and comes into force.
func (f *fleet) change(kind change.Kind, name, document string) operator.Answer {
	f.t.Helper()
	c := change.Change{ID: rand.Text(), Kind: kind, Name: name, Document: json.RawMessage(document), Actor: "test"}
	answer, err := f.operator.Change(context.Background(), c, true)
	if err != nil || answer.Status != change.Accepted || !answer.InForce {
		f.t.Fatalf("%s %s: %+v, %v", kind, name, answer, err)
	}
	return answer
}

// setUpDocuments creates a template, the given versions, a service and a workspace, and
// returns a key of the workspace.
func (f *fleet) setUpDocuments(refs ...string) string {
	f.t.Helper()
	f.change(change.PutTemplate, "drafting", `{"name":"drafting","parameters":[],"policy":{
		"allow":["small@*"],"quality_target":0.5,"services":["ledger"],"limits":{}}}`)
	for _, text := range refs {
		ref, err := version.ParseRef(text)
		if err != nil {
			f.t.Fatal(err)
		}
		f.change(change.PutVersion, text, fmt.Sprintf(`{"ref":{"model":%q,"version":%q},"quality":0.8,"input_price":100,"output_price":400}`, ref.Model, ref.Version))
		f.change(change.MoveVersion, text, `{"trigger":"serve"}`)
	}
	f.change(change.PutService, "ledger", `{"name":"ledger"}`)
	f.change(change.PutWorkspace, "terminalna", `{"name":"terminalna","template":"drafting","values":{}}`)
	key := rand.Text()
	f.change(change.AddKey, "terminalna", fmt.Sprintf(`{"hash":%q}`, workspace.HashKey(key)))
	return key
}

// runs returns the requests that a backend server has run, from its run log.
func (f *fleet) runs(id string) []fake.Run {
	f.t.Helper()
	resp, err := http.Get("http://" + f.backends[id].address + "/v1/runs")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var runs []fake.Run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		f.t.Fatal(err)
	}
	return runs
}

func (f *fleet) client(entry int, key string) caller.Client {
	return caller.Client{Address: f.entries[entry].address, Key: key}
}

func readProblem(t testing.TB, resp *http.Response) caller.Problem {
	t.Helper()
	var p caller.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return p
}

// runProgram runs the program until it exits and returns its exit code and output.
func runProgram(t testing.TB, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(program, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}
