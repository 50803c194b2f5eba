// Command standin2 runs the cases 6 to 10 of the review. It starts balancers with the run command of deploy/balancer.toml
// and plays their clients, upstreams, discovery and platform on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scene is one run of a case: its record, its temporary folder and the processes that it started.
type scene struct {
	root    string
	tmp     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*balancer
}

func newScene(folder string) (*scene, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "salttrack-review-")
	if err != nil {
		return nil, err
	}
	return &scene{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}, nil
}

// now is the time since the start of the scene in seconds.
func (s *scene) now() float64 { return time.Since(s.start).Seconds() }

// log writes a line to the record, with the time in seconds.
func (s *scene) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.4f %s\n", s.now(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (s *scene) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	s.log(format, args...)
}

// end kills all processes that the scene has started and removes its folder.
func (s *scene) end() {
	for _, b := range s.procs {
		b.kill()
	}
	os.RemoveAll(s.tmp)
	s.record.Close()
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// member is an entry of the list of upstreams.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// update is a message of discovery.
type update struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type object = map[string]any

// classSettings returns the settings of a class. The window and the group are those of a keyed class.
func classSettings(name, effect, group string, aim, deadline, window float64) object {
	return object{"name": name, "on_time_ms": aim, "deadline_ms": deadline, "worth": 1.0, "late_value": 0.0,
		"idempotency": effect, "group": group, "window_ms": window, "streamed": false}
}

// settings returns the settings of a first-tier balancer of a small deployment with two zones.
func settings(classes ...object) object {
	return object{
		"me": 0, "replicas_of_me": 2, "zone": 0, "stage": 0, "tiers": []string{"vhod", "primerjava"},
		"dcs": []string{"ljubljana", "frankfurt"}, "discovery": "push", "granularity_ms": 5.0, "family": "chain",
		"invariants": object{"start_capacity": 0.3, "cold_ms": 8900.0, "fall_multiple": 3.0, "fall_ms": 1500.0,
			"drain_grace_ms": 250.0, "answer_slack_ms": 20.0, "ask_within_ms": 10000.0},
		"limits": object{"max_attempts": 6, "cancel": true, "second_copies": true, "retry_after": true,
			"max_retry_after_ms": 2000.0, "connect_timeout_ms": 250.0, "keepalive_ms": 15000.0, "may_probe": true,
			"peers": false, "open_cap": 20000, "streams_per_conn": 1},
		"report":  object{"how": "answers", "columns": []string{"util", "latency_ms"}},
		"classes": classes,
	}
}

// balancer is one process of the project's balancer.
type balancer struct {
	scene  *scene
	name   string
	listen string
	admin  string
	config string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
}

// configuration is what a balancer is told at its start.
type configuration struct {
	name, listen, discovery, admin string
	sockets, memoryMB              int
	known                          update
	settings                       object
}

func (s *scene) writeConfig(path string, c configuration) error {
	text, err := json.MarshalIndent(object{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "admin": c.admin, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known":  c.known, "settings": c.settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// launch starts a balancer with the run command of the deploy file. The listener, if there is one, becomes descriptor 7.
func (s *scene) launch(c configuration, label string, listener *os.File) (*balancer, error) {
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run command")
	}
	b := &balancer{scene: s, name: label, listen: c.listen, admin: c.admin, exited: make(chan struct{}),
		config: filepath.Join(s.tmp, label+".json"), log: filepath.Join(s.tmp, label+".log")}
	if err := s.writeConfig(b.config, c); err != nil {
		return nil, err
	}
	logFile, err := os.Create(b.log)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	shared := filepath.Join(s.tmp, "shared")
	os.MkdirAll(shared, 0o700)
	b.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	b.cmd.Dir = s.root
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + shared, "BALANCER_NAME=" + c.name,
		"BALANCER_LISTEN=" + c.listen, "BALANCER_DISCOVERY=" + c.discovery, "BALANCER_CONFIG=" + b.config}
	if c.admin != "" {
		b.cmd.Env = append(b.cmd.Env, "BALANCER_ADMIN="+c.admin)
	}
	if listener != nil {
		b.cmd.ExtraFiles = []*os.File{nil, nil, nil, nil, listener}
		b.cmd.Env = append(b.cmd.Env, "BALANCER_LISTEN_FD=7")
	}
	b.cmd.Stdout, b.cmd.Stderr = logFile, logFile
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	s.log("balancer %s started, pid %d, listen %s", label, b.cmd.Process.Pid, c.listen)
	s.procs = append(s.procs, b)
	go func() {
		b.cmd.Wait()
		s.log("balancer %s ended: %s", label, b.cmd.ProcessState)
		close(b.exited)
	}()
	return b, nil
}

func (b *balancer) signal(sig syscall.Signal) {
	b.scene.log("balancer %s gets %s", b.name, sig)
	b.cmd.Process.Signal(sig)
}

// running reports whether the process has not ended.
func (b *balancer) running() bool {
	select {
	case <-b.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and copies the end of its log to the record.
func (b *balancer) kill() {
	if b.running() {
		b.cmd.Process.Kill()
		<-b.exited
	}
	if text, err := os.ReadFile(b.log); err == nil {
		if len(text) > 12000 {
			text = text[len(text)-12000:]
		}
		b.scene.log("log of balancer %s:\n%s", b.name, text)
	}
}

// waitReady waits until the path answers 200.
func (b *balancer) waitReady(address, path string, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !b.running() {
			return fmt.Errorf("balancer %s has ended", b.name)
		}
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
		buffer := make([]byte, 12)
		n, _ := c.Read(buffer)
		c.Close()
		if string(buffer[:n]) == "HTTP/1.1 200" {
			b.scene.log("balancer %s is ready (%s)", b.name, path)
			return nil
		}
	}
	return fmt.Errorf("balancer %s is not ready after %s", b.name, timeout)
}

// cases holds the cases by their number.
var cases = map[string]func(*scene) (int, error){}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 review/N")
		os.Exit(couldNot)
	}
	folder := os.Args[1]
	play := cases[filepath.Base(folder)]
	s, err := newScene(folder)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		os.Exit(couldNot)
	}
	code := make(chan int, 1)
	go func() {
		result, err := play(s)
		if err != nil {
			s.say("the case could not run: %v", err)
			result = couldNot
		}
		code <- result
	}()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that has gone must not keep the processes from being ended
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := couldNot
	select {
	case <-stop:
		s.say("the case could not run: it was stopped")
	case result = <-code:
	case <-time.After(110 * time.Second):
		s.say("the case could not run: no end after 110 s")
	}
	s.say("exit %d (0 held, 1 broken, 2 could not run), trouble %t", result, s.trouble)
	s.end()
	os.Exit(result)
}
