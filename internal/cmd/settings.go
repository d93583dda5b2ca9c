package cmd

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rosereach/core/finding"
)

// envPrefix is the prefix of every environment variable.
const envPrefix = "ROSEREACH_"

// settings reads a command's flags and arguments. It collects a finding for each
// invalid one, so that all are reported together.
type settings struct {
	cmd      *cli.Command
	findings finding.List
}

// flag returns a string flag that can also be set by its environment variable.
func flag(name, fallback, usage string) cli.Flag {
	env := envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Value: fallback, Usage: usage, Sources: cli.EnvVars(env)}
}

// boolFlag returns a boolean flag that can also be set by its environment
// variable.
func boolFlag(name, usage string) cli.Flag {
	env := envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.BoolFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env)}
}

func newSettings(cmd *cli.Command) *settings { return &settings{cmd: cmd} }

// err returns the findings as an error, or nil if there are none.
func (s *settings) err() error { return s.findings.Err() }

func (s *settings) required(name string) string {
	v := s.cmd.String(name)
	if v == "" {
		s.findings.Add("--"+name, "missing", "a text that is not empty")
	}
	return v
}

func (s *settings) optional(name string) string { return s.cmd.String(name) }

func (s *settings) address(name string) string {
	v := s.required(name)
	if v == "" {
		return v
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		s.findings.Add("--"+name, err.Error(), "host:port")
	}
	return v
}

func (s *settings) addresses(name string) []string {
	var list []string
	for _, v := range strings.Split(s.required(name), ",") {
		v = strings.TrimSpace(v)
		if _, _, err := net.SplitHostPort(v); err != nil {
			s.findings.Add("--"+name, "bad address "+strconv.Quote(v), "host:port, more than one with commas")
			continue
		}
		list = append(list, v)
	}
	return list
}

func (s *settings) duration(name string) time.Duration {
	d, err := time.ParseDuration(s.cmd.String(name))
	if err != nil || d <= 0 {
		s.findings.Add("--"+name, "bad duration "+strconv.Quote(s.cmd.String(name)), "a duration above 0, such as 500ms or 3s")
	}
	return d
}

func (s *settings) number(name string, minimum, maximum int64) int64 {
	v, err := strconv.ParseInt(s.cmd.String(name), 10, 64)
	if err != nil || v < minimum || v > maximum {
		allowed := strconv.FormatInt(minimum, 10) + " to " + strconv.FormatInt(maximum, 10)
		s.findings.Add("--"+name, "bad number "+strconv.Quote(s.cmd.String(name)), allowed)
	}
	return v
}

func (s *settings) ratio(name string) float64 {
	v, err := strconv.ParseFloat(s.cmd.String(name), 64)
	if err != nil || v < 0 || v > 1 {
		s.findings.Add("--"+name, "bad share "+strconv.Quote(s.cmd.String(name)), "0 to 1")
	}
	return v
}
