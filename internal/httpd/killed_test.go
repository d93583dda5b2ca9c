package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"rosereach/internal/httpd"
)

// An answer without a length of a process that was killed in the middle of it looked whole.
func TestKilledProcessesAnswerIsNotWhole(t *testing.T) {
	if os.Getenv("HTTPD_IS_KILLED") != "" {
		fmt.Println(startServer(t, httpd.Server{Handler: http.HandlerFunc(killItself)}))
		select {}
	}
	for _, c := range []struct{ path, version string }{{"/identity", "1.1"}, {"/", "1.0"}, {"/", "1.1"}} {
		child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
		child.Env = append(os.Environ(), "HTTPD_IS_KILLED=1")
		out, err := child.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		address, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", strings.TrimSpace(address))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET %s HTTP/%s\r\nHost: h\r\n\r\n", c.path, c.version)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				t.Errorf("%v: %q ends in order", c, body)
			}
		}
		conn.Close()
		child.Wait() //nolint:errcheck // it was killed
	}
}

// killItself kills the process when it has written a part of an answer.
func killItself(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/identity" {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	io.WriteString(w, "part")
	http.NewResponseController(w).Flush()
	syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}
