package node

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"salttrack/internal/settings"
	"salttrack/internal/settings/settingstest"
)

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// environment returns a function like os.Getenv for the given variables.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// Operators and their tools read the texts of configuration errors, so the test compares each text completely.
func TestErrorTextsOfConfiguration(t *testing.T) { //revive:disable-line:function-length a table of cases
	const limits = "limits: sockets has to be at least 48, memory_mb at least 8 and cores above 0"
	for _, tt := range []struct{ old, replacement, want string }{
		{"", "", ""},
		{`"listen":"127.0.0.1:8000"`, `"listen":"nowhere"`, `listen "nowhere": not an ip:port`},
		{`"listen":"127.0.0.1:8000",`, ``, `listen "": not an ip:port`},
		{`"listen":"127.0.0.1:8000"`, `"listen":8000`, "json: cannot unmarshal number into Go struct field file.listen of type string"},
		{`"listen":"127.0.0.1:8000"`, `"listen":"127.0.0.1:99999"`, `listen "127.0.0.1:99999": invalid port "99999" parsing "127.0.0.1:99999"`},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":null`, `discovery "": not an ip:port`},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"localhost:1"`, `discovery "localhost:1": ParseAddr("localhost"): unable to parse IP`},
		{`"admin":"127.0.0.1:8001"`, `"admin":"x:1"`, `admin "x:1": ParseAddr("x"): unable to parse IP`},
		{`"admin":"127.0.0.1:8001"`, `"admin":""`, ""},
		{`"name":"n1"`, `"name":7`, "json: cannot unmarshal number into Go struct field file.name of type string"},
		{`"sockets":384`, `"sockets":47`, limits},
		{`"memory_mb":64`, `"memory_mb":7.9`, limits},
		{`"cores":1.0`, `"cores":0`, limits},
		{`"cores":1.0`, `"cores":"one"`, "json: cannot unmarshal string into Go struct field Limits.limits.cores of type float64"},
		{`"limits":{"cores":1.0,"memory_mb":64,"sockets":384}`, `"limits":[]`, "json: cannot unmarshal array into Go struct field file.limits of type node.Limits"},
		{`"seed":"8c1f"`, `"seed":"any text"`, ""},
		{`"seed":"8c1f"`, `"seed":7`, "json: cannot unmarshal number into Go struct field file.seed of type string"},
		{`"members":[]`, `"members":[{"id":"s","phase":"asleep"}]`, `known: discovery: member "s": unknown phase "asleep", want in_service, terminating or terminated`},
		{`"known":{"revision":0,"complete":true,"members":[]}`, `"known":null`, ""},
		{`"settings":{`, `"other":{`, "settings are missing"},
		{`"settings":{`, `"settings":[1],"other":{`, "settings: not a valid JSON object: json: cannot unmarshal array into Go value of type map[string]interface {}"},
		{`"settings":{`, `"settings":null,"other":{`, "setting me is missing"},
		{`"granularity_ms":5.0,`, ``, "setting granularity_ms is missing"},
		{`"granularity_ms":5.0`, `"granularity_ms":"5"`, `setting granularity_ms="5" is not a number`},
		{`"discovery":"push"`, `"discovery":"guess"`, `setting discovery="guess" is not one of the allowed values: ask, push`},
		{`"cancel":true`, `"cancel":1`, `setting limits.cancel="1" is not a boolean: must be true or false`},
		{`"deadline_ms":5000`, `"deadline_ms":0`, "setting classes.0.deadline_ms=0 is out of range: must be greater than 0"},
		{`"name":"read",`, ``, "setting classes.0.name is missing"},
		{`"name":"pay"`, `"name":"read"`, `setting classes.1.name="read" is already the name of another class`},
	} {
		text := strings.Replace(validConfig, tt.old, tt.replacement, 1)
		_, err := Parse([]byte(text), nil)
		settingstest.CheckErrorText(t, tt.old+" -> "+tt.replacement, err, tt.want)
	}
	for _, tt := range []struct{ text, want string }{
		{"", "unexpected end of JSON input"},
		{"{", "unexpected end of JSON input"},
		{"nonsense", "invalid character 'o' in literal null (expecting 'u')"},
		{validConfig + "}", "invalid character '}' after top-level value"},
		{"[]", "json: cannot unmarshal array into Go value of type node.file"},
	} {
		_, err := Parse([]byte(tt.text), nil)
		settingstest.CheckErrorText(t, tt.text, err, tt.want)
	}
}

func TestErrorTextsOfEnvironment(t *testing.T) {
	valid := writeConfig(t, validConfig)
	invalid := writeConfig(t, "{")
	for _, tt := range []struct {
		variables map[string]string
		want      string
	}{
		{nil, "BALANCER_CONFIG is not set"},
		{map[string]string{"BALANCER_CONFIG": "/nowhere/config.json"}, "configuration: open /nowhere/config.json: no such file or directory"},
		{map[string]string{"BALANCER_CONFIG": invalid}, "configuration " + invalid + ": unexpected end of JSON input"},
		{map[string]string{"BALANCER_CONFIG": valid}, ""},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_LISTEN": "here"}, "configuration " + valid + `: listen "here": not an ip:port`},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_DISCOVERY": "here"}, "configuration " + valid + `: discovery "here": not an ip:port`},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_ADMIN": "here"}, "configuration " + valid + `: admin "here": not an ip:port`},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_LISTEN_FD": "2"}, `BALANCER_LISTEN_FD "2" is not a file descriptor of 3 or higher`},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_LISTEN_FD": "x"}, `BALANCER_LISTEN_FD "x" is not a file descriptor of 3 or higher`},
		{map[string]string{"BALANCER_CONFIG": valid, "BALANCER_LISTEN_FD": "3"}, ""},
	} {
		_, err := Load(environment(tt.variables))
		settingstest.CheckErrorText(t, tt.variables["BALANCER_LISTEN_FD"], err, tt.want)
	}
	_, err := Reload(environment(map[string]string{"BALANCER_CONFIG": valid, "BALANCER_LISTEN_FD": "2", "BALANCER_DISCOVERY": "here"}))
	settingstest.CheckErrorText(t, "a reload ignores both variables", err, "")
	_, err = Reload(environment(map[string]string{"BALANCER_CONFIG": invalid}))
	settingstest.CheckErrorText(t, "reload of invalid JSON", err, "configuration "+invalid+": unexpected end of JSON input")
}

// The error of a reload names the path of a key that the running configuration has and the reloaded file lacks.
func TestMissingKeysOfReload(t *testing.T) {
	running, err := Parse([]byte(validConfig), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, replacement, want string }{
		{"", "", ""},
		{`"name":"n1",`, ``, "name"},
		{`"admin":"127.0.0.1:8001",`, ``, "admin"},
		{`"seed":"8c1f",`, ``, "seed"},
		{`"limits":{"cores":1.0,"memory_mb":64,"sockets":384},`, ``, "limits"},
		{`"cores":1.0,`, ``, "limits.cores"},
		{`"limits":{"cores":1.0,"memory_mb":64,"sockets":384},`, `"limits":null,`, "limits.cores"},
		{`"known":{"revision":0,"complete":true,"members":[]},`, ``, "known"},
		{`"connect_timeout_ms":250,`, ``, "settings.limits.connect_timeout_ms"},
		{`"dcs":["here","there"],`, ``, "settings.dcs"},
		{`"tenants":[],`, ``, "settings.tenants"},
		{`"tenants":[],`, `"tenants":[{"quota_per_s":1}],`, ""},
		{`"report":{`, `"reports":{`, "settings.report.columns"},
		{`"name":"pay",`, `"name":"pay","new":1,`, ""},
	} {
		again, err := Parse([]byte(strings.Replace(validConfig, tt.old, tt.replacement, 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		wantText := ""
		if tt.want != "" {
			wantText = "configuration: " + tt.want + " is missing, but the running configuration has it"
		}
		err = again.verifyKeys(running)
		settingstest.CheckErrorText(t, tt.old+" -> "+tt.replacement, err, wantText)
		var configError *ConfigError
		if err != nil && (!errors.As(err, &configError) || configError.Path != tt.want || !errors.Is(err, ErrMissingKey)) {
			t.Errorf("%s -> %s: %#v", tt.old, tt.replacement, err)
		}
	}
}

func TestConfigErrorFields(t *testing.T) {
	for _, tt := range []struct {
		old, replacement     string
		path, value, allowed string
		reason               error
	}{
		{`"127.0.0.1:8000"`, `"nowhere"`, "listen", "nowhere", "an IP address and a port", nil},
		{`"sockets":384`, `"sockets":47`, "limits", "{Cores:1 MemoryMB:64 Sockets:47}", "", ErrLimitsTooLow},
		{`"settings":{`, `"other":{`, "settings", "", "", ErrNoSettings},
		{`"me":0`, `"me":"x"`, "settings.me", "x", "", settings.ErrNotNumber},
		{`"max_attempts":6`, `"max_attempts":0`, "settings.limits.max_attempts", "0", "must be at least 1", settings.ErrOutOfRange},
		{`"name":"read",`, ``, "settings.classes.0.name", "", "", settings.ErrMissing},
	} {
		path := writeConfig(t, strings.Replace(validConfig, tt.old, tt.replacement, 1))
		_, err := Load(environment(map[string]string{"BALANCER_CONFIG": path}))
		var got *ConfigError
		if !errors.As(err, &got) || got.File != path || got.Path != tt.path || got.Value != tt.value || got.Allowed != tt.allowed {
			t.Errorf("%s -> %s: %#v", tt.old, tt.replacement, got)
		}
		if tt.reason != nil && !errors.Is(err, tt.reason) {
			t.Errorf("%s -> %s: %v is not %v", tt.old, tt.replacement, err, tt.reason)
		}
	}
	_, err := Load(environment(map[string]string{"BALANCER_CONFIG": "/nowhere"}))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	if _, err = Load(environment(nil)); !errors.Is(err, ErrNoConfigFile) {
		t.Errorf("no variable: %v", err)
	}
}
