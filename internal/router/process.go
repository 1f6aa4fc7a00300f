package router

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processUsage is the resource usage of the process.
type processUsage struct {
	CPU      time.Duration
	RSSBytes uint64
}

const (
	statmPath          = "/proc/self/statm"
	statmResidentField = 1 // index of the resident set size, in pages
)

// readProcessUsage reads the CPU time and the resident set size of the process.
func readProcessUsage() (processUsage, error) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return processUsage{}, errors.Wrap(err, "router: rusage")
	}
	u := processUsage{CPU: time.Duration(ru.Utime.Nano() + ru.Stime.Nano())}
	b, err := os.ReadFile(statmPath)
	if err != nil {
		return u, errors.Wrap(err, "router: resident memory")
	}
	u.RSSBytes, err = parseStatm(string(b), os.Getpagesize())
	return u, err
}

func parseStatm(s string, pageSize int) (uint64, error) {
	fields := strings.Fields(s)
	if len(fields) <= statmResidentField {
		return 0, errors.Errorf("router: %s is too short", statmPath)
	}
	pages, err := strconv.ParseUint(fields[statmResidentField], 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "router: %s", statmPath)
	}
	return pages * uint64(pageSize), nil
}
