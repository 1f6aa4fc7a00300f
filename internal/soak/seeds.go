package soak

import (
	_ "embed"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

//go:embed testdata/seeds.txt
var failedSeeds string

// FailedSeeds returns the regression seeds, which have failed in an earlier version, each with the cause of
// its failure.
func FailedSeeds() (map[uint64]string, error) {
	out := map[uint64]string{}
	for line := range strings.Lines(failedSeeds) {
		number, cause, _ := strings.Cut(strings.TrimSpace(line), " ")
		if number == "" || number == "#" {
			continue
		}
		var seed uint64
		if _, err := fmt.Sscan(number, &seed); err != nil {
			return nil, errors.Wrapf(err, "soak: seed %q", number)
		}
		out[seed] = cause
	}
	return out, nil
}
