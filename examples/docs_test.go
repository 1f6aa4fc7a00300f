package examples_test

import (
	"regexp"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/lists"
	"github.com/dandelionvane/dandelionvane/internal/settings"
)

var tomlBlock = regexp.MustCompile("(?s)```toml\n# (\\w+)\n(.*?)```")

func TestDocumentedFormatsAreValid(t *testing.T) {
	text := map[string]string{}
	for _, m := range tomlBlock.FindAllStringSubmatch(string(readFile(t, "../docs/OPERATIONS.md")), -1) {
		text[m[1]] = m[2]
	}
	if cfg, faults := lists.Parse(1, text[lists.Plans], text[lists.Entitlements], text[lists.State]); cfg == nil || len(faults) > 0 {
		t.Errorf("lists of OPERATIONS.md: %v", faults)
	}
	if _, faults := settings.Parse("settings", []byte(text["settings"])); len(faults) > 0 {
		t.Errorf("settings of OPERATIONS.md: %v", faults)
	}
}
