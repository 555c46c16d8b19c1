// Package program starts child processes that are killed when their parent ends.
package program

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Process is a started child process.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
}

type startRequest struct {
	command *exec.Cmd
	err     chan error
}

var (
	startRequests = make(chan startRequest)
	startOnce     sync.Once
)

// runStarter starts all child processes on one locked thread, which never ends. The kernel
// kills a child when the thread that started it ends, and the Go runtime may end other threads.
func runStarter() {
	runtime.LockOSThread()
	for r := range startRequests {
		r.err <- r.command.Start()
	}
}

// Start starts a program. stdout and stderr get its output and may be nil.
func Start(stdout, stderr *os.File, path string, args ...string) (*Process, error) {
	startOnce.Do(func() { go runStarter() })
	command := exec.Command(path, args...)
	if stdout != nil {
		command.Stdout = stdout
	}
	if stderr != nil {
		command.Stderr = stderr
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := startRequest{command, make(chan error, 1)}
	startRequests <- r
	if err := <-r.err; err != nil {
		return nil, errors.Wrapf(err, "start %s", path)
	}
	p := &Process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // ProcessState holds the result
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode returns the exit code of a process that has ended, or -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// Pid returns the process's ID.
func (p *Process) Pid() int { return p.command.Process.Pid }
