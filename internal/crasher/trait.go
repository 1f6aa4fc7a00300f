package crasher

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TraitKind says what kind of property a Trait is.
type TraitKind uint8

// Kinds of traits.
const (
	PromptPart TraitKind = iota + 1 // a part of the prompt, by the ID that the caller gives it
	ModelName                       // the model or adapter, by a hash of its name
)

// Names of the kinds in text.
var traitKindNames = map[TraitKind]string{PromptPart: "part", ModelName: "model"}

// Trait is a property that requests with different contents may share.
type Trait struct {
	Kind TraitKind
	ID   uint64
}

// String returns the kind and the ID in hexadecimal, as in "part:5c1e07a2".
func (t Trait) String() string { return traitKindNames[t.Kind] + ":" + strconv.FormatUint(t.ID, 16) }

// ParseTrait parses the result of String.
func ParseTrait(s string) (Trait, error) {
	name, id, _ := strings.Cut(s, ":")
	n, err := strconv.ParseUint(id, 16, 64)
	for kind, known := range traitKindNames {
		if err == nil && known == name {
			return Trait{kind, n}, nil
		}
	}
	return Trait{}, errors.Errorf("trait %q: want part:ID or model:ID with an ID in hexadecimal", s)
}

func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// MaxTraits bounds the traits of a request that are looked at.
const MaxTraits = 16

// Caller identifies a workspace: the low 32 bits of a hash of its ID. Requests without a workspace have one caller.
type Caller uint32

// Shares is what a request may have in common with requests of other contents.
type Shares struct {
	Caller Caller
	Traits []Trait // in order, each once, at most MaxTraits
}

// SharesOf returns what a request may have in common with others. The last part of a prompt belongs to the request or to its
// session; it counts, because a session may send it with several contents.
func SharesOf(workspace fleet.WorkspaceID, model string, parts []uint64) Shares {
	s := Shares{Caller: Caller(fleet.Hash(string(workspace)))}
	if model != "" {
		s.Traits = append(s.Traits, Trait{ModelName, fleet.Hash(model)})
	}
	for _, id := range parts[:min(len(parts), MaxTraits-1)] {
		s.Traits = append(s.Traits, Trait{PromptPart, id})
	}
	return s.normalized()
}

// normalized returns s with its traits in order, each once, at most MaxTraits.
func (s Shares) normalized() Shares {
	traits := slices.Clone(s.Traits)
	slices.SortFunc(traits, compareTraits)
	traits = slices.Compact(traits)
	s.Traits = traits[:min(len(traits), MaxTraits)]
	return s
}

func (s *Shares) has(t Trait) bool {
	_, found := slices.BinarySearchFunc(s.Traits, t, compareTraits)
	return found
}

// hasAll reports whether s has all of some traits.
func (s *Shares) hasAll(traits []Trait) bool {
	for _, t := range traits {
		if !s.has(t) {
			return false
		}
	}
	return true
}
