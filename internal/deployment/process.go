package deployment

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// process is a child process.
type process struct {
	name  string
	cmd   *exec.Cmd
	stdin io.Closer
	done  chan struct{} // closed after the process has exited
	err   error         // result of cmd.Wait, valid after done is closed
}

// processStarter starts child processes from one OS thread that exists until close: the kernel sends the parent-death
// signal (see childAttributes) when the thread that started the child exits, not only when the whole parent exits.
type processStarter struct {
	jobs chan func()
	once sync.Once
}

func newProcessStarter() *processStarter {
	s := &processStarter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

func (s *processStarter) close() { s.once.Do(func() { close(s.jobs) }) }

// start runs a program. If readAddr is set, it waits for the first line of the program's output, which is the address
// of a stand-in, and returns it.
func (s *processStarter) start(name string, log io.Writer, readAddr bool, program string, args ...string) (*process, string, error) {
	cmd := exec.Command(program, args...)
	cmd.Stderr = log
	cmd.SysProcAttr = childAttributes()
	stdinPipe, err := cmd.StdinPipe()
	if err != nil {
		return nil, "", errors.Wrap(err, name)
	}
	var stdoutPipe io.ReadCloser
	if readAddr {
		if stdoutPipe, err = cmd.StdoutPipe(); err != nil {
			return nil, "", errors.Wrap(err, name)
		}
	}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, "", errors.Wrap(err, name)
	}
	p := &process{name: name, cmd: cmd, stdin: stdinPipe, done: make(chan struct{})}
	line := ""
	if readAddr {
		line, err = bufio.NewReader(stdoutPipe).ReadString('\n')
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	if err != nil {
		p.kill()
		return nil, "", errors.Errorf("%s did not print its address", name)
	}
	return p, strings.TrimSpace(line), nil
}

func (p *process) signal(sig os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.name)
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails if the process has exited
	<-p.done
}
