package node

import (
	"regexp"
	"strings"
	"testing"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","admin":"127.0.0.1:8001","seed":"8c1f",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":384},"known":{"revision":0,"complete":true,"members":[]},
 "settings":{"me":0,"replicas_of_me":1,"zone":0,"stage":0,"discovery":"push","granularity_ms":5.0,"dcs":["here","there"],
 "tiers":["one"],"tenants":[],"invariants":{"start_capacity":0.3,"cold_ms":9000,"fall_multiple":3,"fall_ms":1500},
 "limits":{"max_attempts":6,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_ms":2000,
 "connect_timeout_ms":250,"keepalive_ms":15000},"report":{"how":"answers","columns":["util","latency_ms"]},
 "classes":[{"name":"read","on_time_ms":2000,"deadline_ms":5000,"worth":12,"idempotency":"retryable"},
 {"name":"pay","on_time_ms":2000,"deadline_ms":5000,"worth":1,"idempotency":"dedup","group":"zone","window_ms":700}]}}`

// A reload fails if any key is missing from the file: the default must not replace the running value.
func TestEveryMissingKey(t *testing.T) {
	running, err := Parse([]byte(validConfig), nil)
	if err != nil {
		t.Fatal(err)
	}
	endpointListKeys := map[string]bool{"revision": true, "complete": true, "members": true}
	tried := 0
	for _, match := range regexp.MustCompile(`"(\w+)":`).FindAllStringSubmatchIndex(validConfig, -1) {
		start, end := match[2], match[3]
		key := validConfig[start:end]
		if endpointListKeys[key] {
			continue
		}
		tried++
		reloaded, err := Parse([]byte(validConfig[:start]+"renamed-"+validConfig[start:]), nil)
		if err == nil && reloaded.verifyKeys(running) == nil {
			t.Errorf("a configuration without the key %s is accepted", key)
		}
	}
	if tried < 40 {
		t.Errorf("%d keys were tested, want at least 40", tried)
	}
}

func TestEnvironment(t *testing.T) {
	path := writeConfig(t, validConfig)
	variables := map[string]string{"BALANCER_CONFIG": path, "BALANCER_ADMIN": "127.0.0.9:9", "BALANCER_LISTEN_FD": "7"}
	if c, err := Load(environment(variables)); err != nil || c.Admin.String() != "127.0.0.9:9" || c.ListenFD != 7 {
		t.Errorf("configuration %+v, error %v", c, err)
	}
	for _, fd := range []string{"0", "2", "-1", "x", "7.0"} {
		variables["BALANCER_LISTEN_FD"] = fd
		if _, err := Load(environment(variables)); err == nil || !strings.Contains(err.Error(), "BALANCER_LISTEN_FD") {
			t.Errorf("descriptor %s: %v", fd, err)
		}
	}
}
