package test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// codeBlocks returns the contents of a page's fenced code blocks in a language.
func codeBlocks(page, lang string) []string {
	var (
		blocks []string
		open   *strings.Builder
	)
	for _, line := range strings.SplitAfter(page, "\n") {
		switch {
		case open == nil && strings.TrimSpace(line) == "```"+lang:
			open = &strings.Builder{}
		case open != nil && strings.TrimSpace(line) == "```":
			blocks = append(blocks, open.String())
			open = nil
		case open != nil:
			open.WriteString(line)
		}
	}
	return blocks
}

// ownIP is an address from which no connection of another process comes. At 127.0.0.1 one may take
// a port that was free before the process that is to listen there has started.
const ownIP = "127.0.78.1"

// freeAddresses returns n distinct loopback addresses with free ports, chosen by the
// kernel.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ownIP, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// The commands on the page for newcomers succeed and print the lines that the page
// shows.
func TestFirstStartPage(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "docs", "operate", "first-start.md"))
	if err != nil {
		t.Fatal(err)
	}
	script := "set -eu\n" + strings.Join(codeBlocks(string(data), "sh"), "\n")
	cmd := exec.Command("sh", "-c", script)
	cmd.Dir = ".."
	folder := t.TempDir()
	cmd.Env = append(os.Environ(), "FOLDER="+folder)
	names := []string{"CONTROL_1", "CONTROL_2", "CONTROL_3", "ENTRY_1", "ENTRY_2", "ENTRY_3"}
	for i, address := range freeAddresses(t, len(names)) {
		cmd.Env = append(cmd.Env, names[i]+"="+address)
	}
	out := &lockedBuffer{}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	case <-time.After(2 * waitTimeout):
		t.Fatalf("timed out waiting for the page's commands\n%s\n%s", out, logsIn(t, folder))
	}
	rest := out.String()
	for _, block := range codeBlocks(string(data), "text") {
		for _, line := range strings.Split(strings.TrimSpace(block), "\n") {
			_, after, ok := strings.Cut(rest, line)
			if !ok {
				t.Fatalf("the output lacks the line %q at its place:\n%s", line, out)
			}
			rest = after
		}
	}
}

// logsIn returns the ends of the logs in a folder.
func logsIn(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "%s:\n%s\n", filepath.Base(path), text[max(0, len(text)-2000):])
	}
	return all.String()
}
