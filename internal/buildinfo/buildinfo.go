// Package buildinfo identifies the program that a process runs, in whatever way it was built.
package buildinfo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// Unknown stands for what is not known of a program.
const Unknown = "unknown"

// Info identifies a program.
type Info struct {
	Version string `json:"version"` // of the module
	Commit  string `json:"commit"`  // Unknown if the program was built without the repository's state
	Dirty   bool   `json:"dirty"`   // it was built with uncommitted changes
	Go      string `json:"go"`      // release
	Digest  string `json:"digest"`  // SHA-256 of the executable, in hex; Unknown until it has been read
}

// Read returns what the program itself says of its build. The digest is Unknown.
func Read() Info {
	info := Info{Commit: Unknown, Digest: Unknown}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Version, info.Go = build.Main.Version, build.GoVersion
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Commit = s.Value
		case "vcs.modified":
			info.Dirty = s.Value == "true"
		}
	}
	return info
}

// Current is the program that this process runs. It is safe for concurrent use.
type Current struct{ info atomic.Pointer[Info] }

// NewCurrent returns the program without its digest.
func NewCurrent() *Current {
	c := &Current{}
	info := Read()
	c.info.Store(&info)
	return c
}

// Info returns what is known of the program.
func (c *Current) Info() Info { return *c.info.Load() }

// Identify determines the digest of the program and logs it, or why there is none. It returns early when ctx ends.
func (c *Current) Identify(ctx context.Context) {
	digest, err := Digest(ctx)
	if ctx.Err() != nil {
		return
	}
	info := c.Info()
	if err != nil {
		event.LogFields(event.ProgramIdentified, "digest", info.Digest, "commit", info.Commit, "err", err.Error())
		return
	}
	info.Digest = digest
	c.info.Store(&info)
	event.LogFields(event.ProgramIdentified, "digest", info.Digest, "commit", info.Commit)
}

// The executable is read in chunks with pauses, so that a process that starts on a fraction of a core has the core for its callers.
const (
	chunkBytes = 256 << 10
	chunkPause = 5 * time.Millisecond
)

// Digest returns the SHA-256 of the running executable in hex, as sha256sum prints it. It takes about half a second. The errors are those
// of the file, and that of ctx.
func Digest(ctx context.Context) (string, error) {
	f, err := openExecutable()
	if err != nil {
		return "", errors.Wrap(err, "buildinfo")
	}
	defer f.Close()
	h := sha256.New()
	for {
		_, err := io.CopyN(h, f, chunkBytes)
		if errors.Is(err, io.EOF) {
			return hex.EncodeToString(h.Sum(nil)), nil
		}
		if err != nil {
			return "", errors.Wrap(err, "buildinfo: read the executable")
		}
		if !ctxtime.Sleep(ctx, chunkPause) {
			return "", errors.Wrap(ctx.Err(), "buildinfo")
		}
	}
}

// runningExecutable is the file that this process runs on Linux, also if another one has taken its place since.
const runningExecutable = "/proc/self/exe"

func openExecutable() (*os.File, error) {
	if f, err := os.Open(runningExecutable); err == nil {
		return f, nil
	}
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return os.Open(path)
}
