//go:build crowd

// Package crowd holds tests of processes under clients that do not behave. They take memory and
// descriptors to their limits, so they run one at a time and apart from all other tests.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosereach/platform"
)

const (
	// memoryMB and maxOpenFiles are the limits of each process under test, and reservedFiles
	// the descriptors that a process may not use for connections.
	memoryMB      = 96
	maxOpenFiles  = 400
	reservedFiles = 200

	// manyOpenFiles is the limit of descriptors where memory alone should be short.
	manyOpenFiles = 4100

	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20

	controlIP = "127.0.52.1"
	entryIP   = "127.0.52.2"
	serverIP  = "127.0.52.3"

	callerKey = "crowd-key"

	soundService  = "s"
	faultyService = "faulty"

	// A caller repeats a request that a process refuses as not run, a few times.
	callerAttempts = 4
	callerTimeout  = 6 * time.Second

	startTimeout = 60 * time.Second
)

// program is the path of the binary that TestMain builds.
var program string

type (
	// process is a process under test.
	process struct {
		node   platform.SimulatedNode
		role   string
		folder string
		// metricsPort is the port of its metrics.
		metricsPort int

		cmd    *exec.Cmd
		exited chan struct{}
	}

	// fleet is a control, an entry and backend servers.
	fleet struct {
		t     *testing.T
		files int // the limit of descriptors of each process
		ports platform.SimulatedPorts
		// services are the services of the types of routes.
		services map[string]string
		control  *process
		entry    *process
	}

	// peak samples the open descriptors of a process.
	peak struct {
		stop chan struct{}
		done chan int
	}
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "rosereach-crowd-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "rosereach")
	if out, err := exec.Command("go", "build", "-o", program, "rosereach").CombinedOutput(); err != nil {
		fmt.Printf("%s\n", out)
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// startFleet starts a fleet and waits until it answers a request.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetWith(t, maxOpenFiles, map[string]string{"safe": soundService, "unsafe": soundService, "streaming": soundService})
}

// startFleetWith is startFleet with a limit of descriptors and the service of each type of route.
// The service of the safe one is sound.
func startFleetWith(t *testing.T, files int, services map[string]string) *fleet {
	t.Helper()
	f := &fleet{t: t, files: files, services: services}
	f.pickPorts()
	metrics := [2]int{freePort(t, controlIP), freePort(t, entryIP)}
	f.control = f.newProcess("control", controlIP, metrics[0])
	f.entry = f.newProcess("entry", entryIP, metrics[1])
	f.control.start(t)
	f.entry.start(t)
	f.serveBackend()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for ctx.Err() == nil && !f.putConfig() {
		time.Sleep(50 * time.Millisecond)
	}
	for ctx.Err() == nil {
		if status, _ := f.request(callerTimeout, []byte("first")); status == http.StatusOK {
			return f
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the fleet answers no request; its logs are in", f.entry.folder)
	return nil
}

func (f *fleet) newProcess(role, ip string, metricsPort int) *process {
	p := &process{role: role, folder: f.t.TempDir(), metricsPort: metricsPort}
	p.node = platform.SimulatedNode{
		Name: role + "-1", IP: ip, Zone: "z", Seeds: []string{controlIP}, Bootstrap: role == "control", Control: role == "control",
		DataDir: filepath.Join(p.folder, "data"), Ports: f.ports, MemoryMB: memoryMB, MaxOpenFiles: f.files,
	}
	return p
}

// pickPorts lets the kernel pick the ports. Entries serve other entries at the port after the
// internal one.
func (f *fleet) pickPorts() {
	for _, port := range []*int{&f.ports.Callers, &f.ports.Readiness, &f.ports.Control, &f.ports.Directory} {
		*port = freePort(f.t, controlIP)
	}
	for range 100 {
		f.ports.Internal = freePort(f.t, controlIP)
		next := f.ports.Internal + 1
		l, err := net.Listen("tcp", net.JoinHostPort(entryIP, strconv.Itoa(next)))
		if err == nil {
			l.Close()
		}
		if err == nil && !pickedPorts[next] {
			pickedPorts[next] = true
			f.ports.LastInternal = next
			return
		}
	}
	f.t.Fatal("no two free ports in a row")
}

// pickedPorts are the ports that were picked. The kernel may choose one again once it was given up.
var pickedPorts = make(map[int]bool)

func freePort(t *testing.T, ip string) int {
	t.Helper()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if !pickedPorts[port] {
			pickedPorts[port] = true
			return port
		}
	}
}

// start starts the process with its limit of descriptors and kills it when the test ends.
func (p *process) start(t *testing.T) {
	t.Helper()
	settings := filepath.Join(p.folder, "node.toml")
	if err := os.WriteFile(settings, p.node.Settings(), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(p.folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	limited := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", p.node.MaxOpenFiles)
	p.cmd = exec.Command("sh", "-c", limited, program, p.role, "--member-key", "crowd", "--metrics-port", strconv.Itoa(p.metricsPort))
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		p.cmd.Wait() // the test sees in exited that it has ended
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		log.Close()
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("end of the log of %s:\n%s", p.node.Name, text[max(0, len(text)-2000):])
		}
	})
}

// address returns the address of a port of the process.
func (p *process) address(port int) string { return net.JoinHostPort(p.node.IP, strconv.Itoa(port)) }

// isAlive reports whether the process runs.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemoryMB returns the largest resident size that the process ever had.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	t.Fatal("the kernel names no peak size")
	return 0
}

// processorTime returns the processor time that the process has used.
func (p *process) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0 // it has ended, which the test sees elsewhere
	}
	const userTime, tick = 11, 10 * time.Millisecond // fields after the name of the program
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	var ticks int
	for _, f := range fields[userTime : userTime+2] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * tick
}

// openConnections returns the number of sockets and pipes of the process.
func (p *process) openConnections() int {
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0 // it has ended, which the test sees elsewhere
	}
	n := 0
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(folder, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

// watchConnections samples the open connections until result is called.
func (p *process) watchConnections() *peak {
	w := &peak{stop: make(chan struct{}), done: make(chan int, 1)}
	go func() {
		most := 0
		for {
			most = max(most, p.openConnections())
			select {
			case <-time.After(20 * time.Millisecond):
			case <-w.stop:
				w.done <- most
				return
			}
		}
	}()
	return w
}

// result returns the largest number that was seen.
func (w *peak) result() int {
	close(w.stop)
	return <-w.done
}

// serveBackend starts a backend server and announces it until the test ends.
func (f *fleet) serveBackend() {
	l, err := net.Listen("tcp", net.JoinHostPort(serverIP, "0"))
	if err != nil {
		f.t.Fatal(err)
	}
	const id = "server-1"
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestID, _, _ := platform.DecodeServerRequest(r, id)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		platform.SimulatedAnswer{RequestID: requestID, Server: id, Executed: true}.SetHeaders(w.Header())
		if strings.HasSuffix(r.URL.Path, "/large") {
			w.Write(make([]byte, largeAnswer))
			return
		}
		fmt.Fprint(w, n)
	})}
	go server.Serve(l)
	f.t.Cleanup(func() { server.Close() })
	f.announce(id, soundService, l.Addr().String())
}

// announce announces a backend server until the test ends.
func (f *fleet) announce(id, service, address string) {
	announcement := platform.SimulatedServer{ID: id, Service: service, Address: address, Zone: "z", Incarnation: time.Now().UnixMilli()}
	go func() {
		for f.t.Context().Err() == nil {
			announcement.Sequence++
			if r, err := f.ports.HeartbeatRequest(announcement, controlIP); err == nil {
				f.send(r, time.Second)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// putConfig sends the configuration and reports whether it was acknowledged.
func (f *fleet) putConfig() bool {
	limits := platform.SimulatedLimits{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}
	r, err := f.ports.PutConfigRequest(controlIP, platform.SimulatedConfigOf(1, f.services, limits, callerKey))
	if err != nil {
		return false
	}
	status, _ := f.send(r, callerTimeout)
	return status == http.StatusOK
}

// readConfig reports whether the control returns the configuration.
func (f *fleet) readConfig() bool {
	r, err := f.ports.GetConfigRequest(controlIP)
	if err != nil {
		return false
	}
	status, _ := f.send(r, callerTimeout)
	return status == http.StatusOK
}

// request sends a request to the entry and returns its status, 0 for none, and what the answer
// says about when to come back.
func (f *fleet) request(timeLeft time.Duration, body []byte) (status int, retryAfter time.Duration) {
	id := strconv.FormatInt(time.Now().UnixNano(), 16)
	r, err := platform.NewCallerRequest(f.entry.address(f.ports.Callers), "safe", id, callerKey, timeLeft)
	if err != nil {
		return 0, 0
	}
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	return f.send(r, timeLeft)
}

// send sends a request on a connection of its own.
func (f *fleet) send(r *http.Request, timeout time.Duration) (status int, retryAfter time.Duration) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, retryAfter
}

// isAnswered reports whether the entry answers a request of a caller that comes back when it is
// told to.
func (f *fleet) isAnswered(body []byte) bool {
	for range callerAttempts {
		status, retryAfter := f.request(callerTimeout, body)
		if status == http.StatusOK {
			return true
		}
		f.t.Logf("a request of %d bytes got status %d, retry after %s", len(body), status, retryAfter)
		time.Sleep(retryAfter)
	}
	return false
}

// readStatus returns the status of the answer on the connection, 0 for none.
func readStatus(c net.Conn) int {
	c.SetReadDeadline(time.Now().Add(callerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// together runs f for each number below n at the same time and waits for all.
func together(n int, f func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
	}
	all.Wait()
}
