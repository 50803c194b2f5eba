package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"salttrack/balance"
	"salttrack/internal/discovery"
	"salttrack/internal/settings"
)

// config is what a balancer is told at its start.
type config struct {
	name      string
	listen    netip.AddrPort
	discovery netip.AddrPort
	seed      uint64
	limits    limits
	known     *discovery.Update
	settings  settings.Settings
	effects   []balance.Effect
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the configuration as the platform writes it. Fields that are not named here are ignored.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// load reads the configuration that the environment names. What the environment says itself goes first.
func load(env func(string) string) (*config, error) {
	return read(env, "BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY")
}

// reload reads it again for a program that runs: the file is newer than the environment, so it says where
// discovery is now.
func reload(env func(string) string) (*config, error) {
	return read(env, "BALANCER_NAME", "BALANCER_LISTEN")
}

// read reads the configuration. The named variables go before the file.
func read(env func(string) string, first ...string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	f := file{Limits: limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	into := map[string]*string{"BALANCER_NAME": &f.Name, "BALANCER_LISTEN": &f.Listen, "BALANCER_DISCOVERY": &f.Discovery}
	for _, name := range first {
		if v := env(name); v != "" {
			*into[name] = v
		}
	}
	c, err := f.check()
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// restartFor names what differs in a configuration read again and is only taken up at the next start.
func (c *config) restartFor(again *config) []string {
	var names []string
	for name, same := range map[string]bool{"name": c.name == again.name, "listen": c.listen == again.listen,
		"limits": c.limits == again.limits, "settings": reflect.DeepEqual(c.settings, again.settings)} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *file) check() (*config, error) {
	c := &config{name: f.Name, limits: f.Limits}
	var err error
	if c.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen %q: %w", f.Listen, err)
	}
	if c.discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery %q: %w", f.Discovery, err)
	}
	if c.limits.Sockets < socketsLeast || c.limits.MemoryMB < memoryLeast || c.limits.Cores <= 0 {
		return nil, fmt.Errorf("limits: at least %d sockets, %d MB and some of a core are needed", socketsLeast, memoryLeast)
	}
	if c.seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil { // any text will do as a seed
		h := fnv.New64a()
		h.Write([]byte(f.Seed))
		c.seed = h.Sum64()
	}
	c.known = &discovery.Update{Complete: true}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.known, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	values, err := settings.ParseJSON(f.Settings)
	if err != nil {
		return nil, err
	}
	if c.settings, err = settings.Build(values); err != nil {
		return nil, err
	}
	for i, name := range c.settings.ClassNames {
		if name == "" {
			return nil, fmt.Errorf("setting classes.%d.name is missing", i)
		}
		c.effects = append(c.effects, c.settings.Classes[i].Effect)
	}
	return c, nil
}
