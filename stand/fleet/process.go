package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is an operating system process started by StartProcess.
type Process struct {
	Name string
	// PID is the ID of the process.
	PID     int
	command *exec.Cmd
	output  *os.File
	// done is closed when the process has exited.
	done chan struct{}
	// err is the result of command.Wait; it is set before done is closed.
	err error
}

// StartProcess starts a program and appends its standard output and standard
// error to the file output. name appears in errors only.
func StartProcess(name, output, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	command := exec.Command(program, args...)
	command.Stdout = file
	command.Stderr = file
	// In its own process group, the process doesn't receive the SIGINT of a
	// Ctrl-C at the terminal, and is stopped only by Stop, in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, PID: command.Process.Pid, command: command, output: file, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = file.Close()
		close(p.done)
	}()
	return p, nil
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It returns an error after the process has
// exited.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error
// when the process had exited before the call, exits with a status other than 0,
// or is still running after timeout and is killed.
func (p *Process) Stop(timeout time.Duration) error {
	if !p.Running() {
		return fmt.Errorf("%s exited before it was stopped: %w", p.Name, p.exitError())
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s was still running %s after SIGTERM and was killed", p.Name, timeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s failed during shutdown: %w", p.Name, p.err)
	}
	return nil
}

func (p *Process) exitError() error {
	if p.err != nil {
		return p.err
	}
	return fmt.Errorf("exit status 0")
}

// stopAll stops processes concurrently. The error at index i is that of process
// i, or nil.
func stopAll(processes []*Process, timeout time.Duration) []error {
	errs := make([]error, len(processes))
	var done sync.WaitGroup
	for i, p := range processes {
		done.Go(func() { errs[i] = p.Stop(timeout) })
	}
	done.Wait()
	return errs
}
