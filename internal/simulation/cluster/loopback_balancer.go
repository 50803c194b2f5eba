package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// configVariable is the environment variable that names a balancer's configuration file.
const configVariable = "BALANCER_CONFIG"

// loopbackBalancer is a balancer that runs as a process of the real program.
type loopbackBalancer struct {
	cmd        *exec.Cmd
	configFile string
}

// startBalancer starts a process of the program with its log in a file. A goroutine waits for the exit and closes the log.
func (e *loopbackEnvironment) startBalancer(name, _, _ string, config []byte, onExit func(exitState)) balancerProcess {
	b := &loopbackBalancer{configFile: filepath.Join(e.dir, name+".json")}
	b.writeConfig(config)
	log, err := os.Create(filepath.Join(e.dir, name+".log"))
	if err != nil {
		panic(err)
	}
	b.cmd = exec.Command(e.program)
	b.cmd.Env = append(os.Environ(), configVariable+"="+b.configFile)
	b.cmd.Stderr = log
	if err := b.cmd.Start(); err != nil {
		panic(err)
	}
	e.balancers.Go(func() {
		err := b.cmd.Wait()
		log.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.onBalancerExit(name, b.cmd.ProcessState, err, onExit)
	})
	return b
}

// onBalancerExit handles the exit of a balancer process: it calls onExit for status 0 and adds an error for another status.
// It does neither if a signal ended the process, because the simulator itself sends SIGKILL.
func (e *loopbackEnvironment) onBalancerExit(name string, state *os.ProcessState, err error, onExit func(exitState)) {
	e.cpuTime += state.UserTime() + state.SystemTime()
	if err == nil {
		onExit(exitState{})
		return
	}
	if status, ok := state.Sys().(syscall.WaitStatus); !ok || !status.Signaled() {
		e.errors = append(e.errors, fmt.Sprintf("%s: %v", name, err))
	}
}

// writeConfig replaces the configuration file atomically.
func (b *loopbackBalancer) writeConfig(config []byte) {
	temporary := b.configFile + ".new"
	if err := os.WriteFile(temporary, config, 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(temporary, b.configFile); err != nil {
		panic(err)
	}
}

// pendingWork returns "", because the state of another process can't be read.
func (b *loopbackBalancer) pendingWork() string { return "" }

func (b *loopbackBalancer) kill() { b.cmd.Process.Kill() }

func (b *loopbackBalancer) terminate() { b.cmd.Process.Signal(unix.SIGTERM) }

func (b *loopbackBalancer) reload(config []byte) {
	b.writeConfig(config)
	b.cmd.Process.Signal(unix.SIGHUP)
}

func (b *loopbackBalancer) disable(string, func()) {
	panic("overrides can be sent on the virtual network only")
}

func (b *loopbackBalancer) enable(string) {
	panic("overrides can be sent on the virtual network only")
}
