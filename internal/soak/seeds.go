package soak

import (
	_ "embed"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

//go:embed testdata/seeds.txt
var failedSeeds string

// FailedSeed is a regression seed, which has failed in an earlier version.
type FailedSeed struct {
	Seed  uint64
	Mix   int // in which it has failed
	Cause string
}

// FailedSeeds returns the regression seeds.
func FailedSeeds() ([]FailedSeed, error) {
	var out []FailedSeed
	for line := range strings.Lines(failedSeeds) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var s FailedSeed
		if _, err := fmt.Sscanf(line, "%d mix=%d", &s.Seed, &s.Mix); err != nil {
			return nil, errors.Wrapf(err, "soak: seed %q", line)
		}
		_, s.Cause, _ = strings.Cut(line, ": ")
		out = append(out, s)
	}
	return out, nil
}
