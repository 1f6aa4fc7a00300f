package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Load reads a settings file. The settings are nil when a fault is more than a warning.
func Load(path string) (*Settings, []Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Line: 1, Problem: fmt.Sprintf("cannot be read: %v", err), Fix: "name a readable file"}}
	}
	s, faults := Parse(path, text)
	if s != nil {
		s.TLS.resolve(filepath.Dir(path))
	}
	return s, faults
}

// Parse checks the text of a settings file. The settings are nil when a fault is
// more than a warning.
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

func (t *TLS) resolve(dir string) {
	for _, name := range []*string{&t.CA, &t.Certificate, &t.Key, &t.Secret} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
