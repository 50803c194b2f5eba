package cluster

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"salttrack/internal/simulation/checker"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
	"salttrack/internal/simulation/simnet"
)

// virtualStart is the Unix time in ms at which each run on the virtual network starts.
const virtualStart = 1.8e12

// Result is the result of a run. Its JSON form is stored in reports.
type Result struct {
	Seed       uint64              `json:"seed"`
	Violations []checker.Violation `json:"violations,omitempty"`
	Steps      uint64              `json:"steps"`
	Seconds    float64             `json:"virtual_seconds"`
	Hash       uint64              `json:"hash"`
	Counts     checker.Counts      `json:"count"`
}

// FirstRule returns the rule of the first violation, or "" if there is no violation.
func (r *Result) FirstRule() names.Rule {
	if len(r.Violations) == 0 {
		return ""
	}
	return r.Violations[0].Rule
}

// Violated reports whether the run violated the given rule.
func (r *Result) Violated(rule names.Rule) bool {
	return slices.ContainsFunc(r.Violations, func(v checker.Violation) bool { return v.Rule == rule })
}

// Options are the outputs of a run, which have no effect on the run itself.
type Options struct {
	Trace io.Writer // receives a line for each delivered segment, refused connection and killed process; nil for no trace
	Log   io.Writer // receives the logs of the balancers; nil for no logs
}

// Play runs a scenario on the virtual network. A panic during the run is reported as a violation of the rule names.Panic.
func Play(s *scenario.Scenario, options Options) (result Result) {
	network := simnet.New(s.Seed, virtualStart, pathsOf(s.Cluster))
	if options.Trace != nil {
		network.SetTrace(func(line string) { fmt.Fprintln(options.Trace, line) })
	}
	c := newCluster(s, newVirtualEnvironment(network, newLogger(options.Log)))
	defer func() {
		if cause := recover(); cause != nil {
			c.checker.Report(names.Panic, network.Now(), "%v\n%s", cause, panicStack())
			result = c.result(network)
		}
	}()
	c.build()
	network.Run(c.loadEnd + quietPeriod)
	c.shutDown()
	network.Run(c.loadEnd + quietPeriod + shutdownTimeout)
	c.checkShutDown()
	return c.result(network)
}

// newLogger returns the logger of the balancers. It discards all messages if the writer is nil.
func newLogger(w io.Writer) *logrus.Entry {
	logger := logrus.New()
	if w == nil {
		logger.SetOutput(io.Discard)
		logger.SetLevel(logrus.PanicLevel)
	} else {
		logger.SetOutput(w)
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	}
	return logrus.NewEntry(logger)
}

// pathsOf returns a function that returns the network path between two zones of a cluster.
func pathsOf(s scenario.Cluster) func(a, b string) simnet.Path {
	return func(a, b string) simnet.Path {
		path := simnet.Path{Latency: s.CrossZoneMS, Jitter: s.Jitter}
		if a == b {
			path.Latency = s.SameZoneMS
		}
		return path
	}
}

// result returns the result of a run on the virtual network.
func (c *cluster) result(network *simnet.Network) Result {
	return Result{
		Seed:       c.scenario.Seed,
		Violations: c.checker.Violations,
		Steps:      network.Steps(),
		Seconds:    (network.Now() - virtualStart) / 1000,
		Hash:       network.Hash(),
		Counts:     c.checker.Counts,
	}
}

// maxStackLines is the maximum number of functions that the violation text of a panic lists.
const maxStackLines = 6

// panicStack returns the innermost functions of this project on the stack of the current panic, one per line.
func panicStack() string {
	all := strings.Split(string(debug.Stack()), "\n")
	start := 0
	for i, line := range all {
		if strings.HasPrefix(line, "panic(") {
			start = i + 2
		}
	}
	var lines []string
	for _, line := range all[start:] {
		if strings.HasPrefix(line, "salttrack/") && len(lines) < maxStackLines {
			function, _, _ := strings.Cut(line, "(0x")
			lines = append(lines, "  "+function)
		}
	}
	return strings.Join(lines, "\n")
}
