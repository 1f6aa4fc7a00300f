package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Load reads and validates a settings file. The settings are nil if any fault is an error.
func Load(path string) (*Settings, []Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Line: 1, Problem: fmt.Sprintf("cannot be read: %v", err), Fix: "name a readable file"}}
	}
	s, faults := Parse(path, text)
	if s != nil {
		s.TLS.resolvePaths(filepath.Dir(path))
	}
	return s, faults
}

// Parse parses and validates the text of a settings file; file is its name in faults. The settings
// are nil if any fault is an error.
func Parse(file string, text []byte) (*Settings, []Fault) {
	s := Default()
	d := tomldoc.Decode(file, text, s)
	if d.Parsed() {
		s.check(d)
	}
	faults := d.Faults()
	if tomldoc.HasErrors(faults) {
		return nil, faults
	}
	return s, faults
}

// resolvePaths joins relative file names with dir, the directory of the settings file.
func (t *TLS) resolvePaths(dir string) {
	for _, name := range []*string{&t.CA, &t.Certificate, &t.Key, &t.Secret} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
