package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/google/subcommands"
)

// TestExamplesInUsageExist: the example files and instances that the help of the commands names exist.
func TestExamplesInUsageExist(t *testing.T) {
	root := filepath.Join("..", "..")
	files := regexp.MustCompile(`examples/[a-z0-9/-]+\.toml`)
	instances := regexp.MustCompile(`--instances ([a-z]+-\d+),([a-z]+-\d+)`)
	for _, c := range []subcommands.Command{&routerCommand{}, &certsCommand{}} {
		usage := c.Usage()
		named := files.FindAllString(usage, -1)
		for _, ids := range instances.FindAllStringSubmatch(usage, -1) {
			for _, id := range ids[1:] {
				named = append(named, "examples/coulee/settings/"+id+".toml")
			}
		}
		if len(named) == 0 {
			t.Errorf("%s: no example found", c.Name())
		}
		for _, file := range named {
			if _, err := os.Stat(filepath.Join(root, file)); err != nil {
				t.Errorf("%s: %v", c.Name(), err)
			}
		}
	}
}
