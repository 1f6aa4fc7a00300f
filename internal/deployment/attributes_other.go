//go:build !linux

package deployment

import "syscall"

// childAttributes returns nil: outside Linux there is no parent-death signal, and a child starts with the defaults.
func childAttributes() *syscall.SysProcAttr { return nil }
