package buildinfo_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
)

// digestVariable makes this test program print its own digest, after it has replaced its file.
const digestVariable = "DANDELIONVANE_TEST_DIGEST"

func TestMain(m *testing.M) {
	if path := os.Getenv(digestVariable); path != "" {
		os.Exit(printDigest(path))
	}
	os.Exit(m.Run())
}

// printDigest writes the digest of this process, whose file gets other content before.
func printDigest(path string) int {
	if os.Remove(path) != nil || os.WriteFile(path, []byte("another program"), 0o700) != nil {
		return 1
	}
	digest, err := buildinfo.Digest(context.Background())
	if err != nil {
		return 1
	}
	_, _ = os.Stdout.WriteString(digest)
	return 0
}

// TestDigestIsOfTheRunningProgram guards against a process that names the program which has taken the place of its own: a fleet that was
// deployed by halves would look whole.
func TestDigestIsOfTheRunningProgram(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.ReadFile(self)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(path, program, 0o700); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(path)
	c.Env = append(os.Environ(), digestVariable+"="+path)
	out, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256(program)
	if want := hex.EncodeToString(sum[:]); string(out) != want {
		t.Errorf("digest %s, want %s", out, want)
	}
}

// TestDigestEndsWithItsContext: a process that ends does not wait for its digest.
func TestDigestEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if digest, err := buildinfo.Digest(ctx); err == nil {
		t.Errorf("digest %s, want an error", digest)
	}
}

// TestInfoSaysWhatIsUnknown: no field that identifies the program is empty.
func TestInfoSaysWhatIsUnknown(t *testing.T) {
	info := buildinfo.Read()
	if info.Commit == "" || info.Digest != buildinfo.Unknown || !strings.HasPrefix(info.Go, "go") {
		t.Errorf("%+v", info)
	}
}
