package deployment

import "syscall"

// childAttributes makes the kernel kill the child when the thread that started it exits (see processStarter), and puts
// the child into its own process group, so that an interrupt from the terminal reaches only the parent.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
