package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// run is a request that an engine ran.
type run struct{ Engine, Service, Version, ID, Method, Target, Path, Host, Tenant string }

// record writes record.txt and keeps what engines ran.
type record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
	runs  []run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// write adds a line with the time since the start in seconds.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(x run) {
	r.write("engine %s (%s, version %s) runs %s: %s %s, tenant %q", x.Engine, x.Service, x.Version, x.ID, x.Method, x.Target, x.Tenant)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

// allRuns returns what engines have run so far.
func (r *record) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
