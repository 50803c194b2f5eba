package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"salttrack/internal/goldentest"
)

// goldenConfig is a valid configuration.
const goldenConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","admin":"127.0.0.1:3","seed":"8c1f",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":0,"complete":true,"members":[]},"settings":` + settingsJSON + `}`

// edit returns goldenConfig with the value at a path replaced. The value nil removes the key.
func edit(t *testing.T, value any, path ...any) string {
	t.Helper()
	var config any
	if err := json.Unmarshal([]byte(goldenConfig), &config); err != nil {
		t.Fatal(err)
	}
	at := config
	for _, step := range path[:len(path)-1] {
		switch step := step.(type) {
		case string:
			at = at.(map[string]any)[step]
		case int:
			at = at.([]any)[step]
		}
	}
	object, key := at.(map[string]any), path[len(path)-1].(string)
	object[key] = value
	if value == nil {
		delete(object, key)
	}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	logTime = regexp.MustCompile(`time="[^"]*" `)
	goType  = regexp.MustCompile(`(type |struct field )(?:\w+\.)?[A-Za-z]\w+(\.|")`)
)

// runToExit runs the program with a configuration text, and returns its exit status and its log.
// In the log, times are removed, Go type names are replaced by TYPE, and the path of the configuration file by CONFIG.
func runToExit(t *testing.T, config string, environment ...string) (int, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append([]string{programVariable + "=1", fastRaceExit, "BALANCER_CONFIG=" + path}, environment...)
	log, err := cmd.CombinedOutput()
	status := 0
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(log), path, "CONFIG")
	return status, goType.ReplaceAllString(logTime.ReplaceAllString(text, ""), "${1}TYPE$2")
}

// configurationCase is a case of TestGoldenConfigurationErrors.
type configurationCase struct {
	name        string
	config      string // text of the configuration file
	environment string // additional environment variable, as NAME=VALUE
}

// invalidConfigurations returns configurations that the program rejects.
func invalidConfigurations(t *testing.T) []configurationCase { //revive:disable-line:function-length a table of cases
	t.Helper()
	return []configurationCase{
		{name: "no configuration", environment: "BALANCER_CONFIG="},
		{name: "no file", environment: "BALANCER_CONFIG=/nowhere/config.json"},
		{name: "a directory", environment: "BALANCER_CONFIG=/"},
		{name: "an empty file", config: ""},
		{name: "a truncated file", config: goldenConfig[:100]},
		{name: "an array", config: "[]"},
		{name: "name of another type", config: edit(t, 7, "name")},
		{name: "listen missing", config: edit(t, nil, "listen")},
		{name: "listen malformed", config: edit(t, "nowhere", "listen")},
		{name: "listen malformed in the environment", config: goldenConfig, environment: "BALANCER_LISTEN=localhost:80"},
		{name: "discovery missing", config: edit(t, nil, "discovery")},
		{name: "discovery malformed", config: edit(t, "127.0.0.1", "discovery")},
		{name: "admin malformed", config: edit(t, "127.0.0.1:x", "admin")},
		{name: "descriptor malformed", config: goldenConfig, environment: "BALANCER_LISTEN_FD=x"},
		{name: "descriptor of a standard stream", config: goldenConfig, environment: "BALANCER_LISTEN_FD=2"},
		{name: "descriptor not open", config: goldenConfig, environment: "BALANCER_LISTEN_FD=300"},
		{name: "too few sockets", config: edit(t, 3, "limits", "sockets")},
		{name: "too little memory", config: edit(t, 7, "limits", "memory_mb")},
		{name: "no cores", config: edit(t, 0, "limits", "cores")},
		{name: "cores of another type", config: edit(t, "one", "limits", "cores")},
		{name: "known endpoints malformed", config: edit(t, map[string]any{"members": []any{map[string]any{"id": "s", "phase": "asleep"}}}, "known")},
		{name: "known endpoints of another type", config: edit(t, 1, "known")},
		{name: "settings missing", config: edit(t, nil, "settings")},
		{name: "settings of another type", config: edit(t, []int{1}, "settings")},
		{name: "setting missing", config: edit(t, nil, "settings", "granularity_ms")},
		{name: "setting of an unknown word", config: edit(t, "guess", "settings", "discovery")},
		{name: "setting beyond its bounds", config: edit(t, 0, "settings", "limits", "max_attempts")},
		{name: "setting of another type", config: edit(t, "six", "settings", "limits", "max_attempts")},
		{name: "class without a name", config: edit(t, nil, "settings", "classes", 0, "name")},
		{name: "class without a deadline", config: edit(t, nil, "settings", "classes", 1, "deadline_ms")},
		{name: "class with a deadline below 0", config: edit(t, -1, "settings", "classes", 1, "deadline_ms")},
		{name: "class with an unknown idempotency", config: edit(t, "maybe", "settings", "classes", 0, "idempotency")},
		{name: "no classes", config: edit(t, []any{}, "settings", "classes")},
	}
}

// For each invalid configuration the program exits with status 1, and the line that it logs equals the line in the golden file.
func TestGoldenConfigurationErrors(t *testing.T) {
	var transcript strings.Builder
	for _, tt := range invalidConfigurations(t) {
		status, log := runToExit(t, tt.config, tt.environment)
		if status != 1 {
			t.Errorf("%s: exit status %d, want 1", tt.name, status)
		}
		transcript.WriteString(tt.name + ": " + log)
	}
	got := transcript.String()
	goldentest.Compare(t, "testdata/configuration_errors.golden", got)
}
