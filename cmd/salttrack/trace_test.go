package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// linesWith returns the log lines in which a field has a value, in sequence. Each line is a map of its fields.
func (p *program) linesWith(field, value string) []map[string]any {
	var lines []map[string]any
	for line := range strings.Lines(p.log.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields[field] == value {
			lines = append(lines, fields)
		}
	}
	return lines
}

// checkTraceLine checks the fields of a trace line, and returns its message.
func checkTraceLine(t *testing.T, line map[string]any) string {
	t.Helper()
	message := line["msg"].(string)
	switch message {
	case "attempt sent", "attempt ended":
		if upstream, _ := line["upstream"].(string); !strings.HasPrefix(upstream, "s-") || line["attempt"] == nil {
			t.Errorf("the line of an attempt lacks its upstream or number: %v", line)
		}
	case "response sent":
		if line["outcome"] != "rejected" || line["reason"] == nil {
			t.Errorf("the line of a response lacks its outcome or reason: %v", line)
		}
	}
	return message
}

// The trace of a request has lines for its attempts, with their upstreams and outcomes, and for the response.
// SIGUSR2 disables the trace while the program runs. The last line of the shutdown reports that no request is in flight.
func TestTrace(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }
	e := newEnvironment(t, fails, fails)
	p := start(t, e.config(nil), withVariable("BALANCER_LOG_FORMAT=json"), withVariable("BALANCER_TRACE=on"))
	for range 40 { // allows retries, whose number is limited to a share of the requests
		p.do("read", "before")
	}
	p.do("read", "traced")
	p.waitFor("the response", func() bool {
		lines := p.linesWith("request", "traced")
		return len(lines) > 0 && lines[len(lines)-1]["msg"] == "response sent"
	})
	var messages []string
	for _, line := range p.linesWith("request", "traced") {
		messages = append(messages, checkTraceLine(t, line))
	}
	text := strings.ReplaceAll(strings.Join(messages, ", "), "upstream connected, ", "") // an attempt may reuse a connection, and then has no such line
	if !strings.HasPrefix(text, "request accepted, attempt sent, attempt ended, ") || !strings.HasSuffix(text, ", response sent") {
		t.Errorf("the trace has the messages %s", text)
	}
	p.cmd.Process.Signal(syscall.SIGUSR2)
	p.waitFor("the trace to be disabled", func() bool { return strings.Contains(p.log.String(), `"msg":"request trace disabled"`) })
	p.do("read", "untraced")
	p.terminate()
	if lines := p.linesWith("request", "untraced"); len(lines) != 0 {
		t.Errorf("a request is traced though the trace is disabled: %v", lines)
	}
	completed := p.linesWith("msg", "shutdown completed")
	if len(completed) != 1 || completed[0]["in_flight"] != 0.0 {
		t.Errorf("the log does not report 0 requests in flight after the shutdown; log:\n%s", p.log)
	}
}
