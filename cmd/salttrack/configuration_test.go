package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"salttrack/internal/node"
)

// environmentOf returns a function like os.Getenv for the given variables.
func environmentOf(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// The error of an invalid configuration is a single line that names the invalid value.
func TestConfigurationErrors(t *testing.T) {
	e := newEnvironment(t)
	set := func(key string, v any) func(map[string]any) {
		return func(config map[string]any) { config[key] = v }
	}
	for _, tt := range []struct {
		name   string
		change func(config map[string]any)
		want   string
	}{
		{"listen", set("listen", "nowhere"), "listen"},
		{"discovery", set("discovery", nil), "discovery"},
		{"another type", set("name", 7), "name"},
		{"few sockets", set("limits", map[string]any{"sockets": 3}), "sockets"},
		{"no settings", func(c map[string]any) { delete(c, "settings") }, "settings are missing"},
		{"settings of another type", set("settings", []int{1}), "settings"},
		{"setting missing", func(c map[string]any) { delete(settingsOf(c), "granularity_ms") }, "granularity_ms is missing"},
		{"setting with unknown value", func(c map[string]any) { settingsOf(c)["discovery"] = "guess" }, `discovery="guess"`},
		{"class without name", func(c map[string]any) { delete(classOf(settingsOf(c), 0), "name") }, "classes.0.name"},
		{"cached endpoint list", set("known", map[string]any{"members": []any{map[string]any{"id": "s", "phase": "asleep"}}}), "asleep"},
	} {
		path := e.config(tt.change)
		_, err := node.Load(environmentOf(map[string]string{"BALANCER_CONFIG": path}))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
}

// Without a valid configuration the program logs one line and exits with status 1.
func TestExitsWithoutConfiguration(t *testing.T) {
	for _, variables := range [][]string{{}, {"BALANCER_CONFIG=/nowhere/config.json"}, {"BALANCER_CONFIG=" + os.Args[0]}} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(variables, programVariable+"=1")
		log, err := cmd.CombinedOutput()
		exit, _ := err.(*exec.ExitError)
		if exit == nil || exit.ExitCode() != 1 || strings.Count(string(log), "\n") != 1 {
			t.Errorf("%v: %v, %q", variables, err, log)
		}
	}
}

// Environment variables take precedence over the file.
// The exception is the address of discovery in a reload, since the file is newer than the variable.
func TestEnvironmentPrecedence(t *testing.T) {
	e := newEnvironment(t)
	path := e.config(nil)
	c, err := node.Load(environmentOf(map[string]string{
		"BALANCER_CONFIG":    path,
		"BALANCER_NAME":      "other",
		"BALANCER_LISTEN":    "127.0.0.9:1",
		"BALANCER_DISCOVERY": "127.0.0.8:2",
	}))
	if err != nil || c.Name != "other" || c.Listen.String() != "127.0.0.9:1" || c.Discovery.String() != "127.0.0.8:2" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("%+v %v", c, err)
	}
	c, err = node.Reload(environmentOf(map[string]string{
		"BALANCER_CONFIG":    path,
		"BALANCER_LISTEN":    "127.0.0.9:1",
		"BALANCER_DISCOVERY": "127.0.0.8:2",
	}))
	if err != nil || c.Discovery.String() != e.discovery.Addr().String() || c.Listen.String() != "127.0.0.9:1" {
		t.Errorf("reloaded: %+v %v", c, err)
	}
	if len(c.Settings.Classes) != 2 || c.Settings.ClassNames[1] != "pay" || c.Settings.KeepAlive != 15000 || len(c.Settings.ZoneNames) != 2 {
		t.Errorf("settings %+v", c.Settings)
	}
}
