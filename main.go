// Rosereach routes requests to the models and versions that their workspaces are
// permitted to use.
package main

import (
	"context"
	_ "embed"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"rosereach/internal/cmd"
)

//go:embed version.txt
var version string

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Main(ctx, strings.TrimSpace(version), os.Args)
	stop()
	os.Exit(code)
}
