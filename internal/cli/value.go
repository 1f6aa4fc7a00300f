package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// value is a JSON value whose objects keep the order of their members.
type value struct {
	kind  valueKind
	text  string   // scalar
	keys  []string // object: the member names, in order
	items []value  // object: the member values, parallel to keys; array: the elements
}

type valueKind uint8

const (
	scalar valueKind = iota
	object
	array
)

func parseValue(doc []byte) (value, error) {
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.UseNumber()
	v, err := readValue(dec)
	if err != nil {
		return value{}, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return value{}, errors.New("data after the JSON value")
	}
	return v, nil
}

func readValue(dec *json.Decoder) (value, error) {
	tok, err := dec.Token()
	if err != nil {
		return value{}, err
	}
	switch tok {
	case json.Delim('{'):
		return readContainer(dec, object)
	case json.Delim('['):
		return readContainer(dec, array)
	case nil:
		return value{}, nil
	default:
		return value{text: fmt.Sprint(tok)}, nil
	}
}

func readContainer(dec *json.Decoder, kind valueKind) (value, error) {
	v := value{kind: kind}
	for dec.More() {
		if kind == object {
			key, err := dec.Token()
			if err != nil {
				return value{}, err
			}
			v.keys = append(v.keys, fmt.Sprint(key))
		}
		item, err := readValue(dec)
		if err != nil {
			return value{}, err
		}
		v.items = append(v.items, item)
	}
	_, err := dec.Token()
	return v, err
}

// member returns the value of an object's member and whether the object has it.
func (v value) member(key string) (value, bool) {
	for i, k := range v.keys {
		if k == key {
			return v.items[i], true
		}
	}
	return value{}, false
}

// inline returns the value on one line.
func (v value) inline() string {
	parts := make([]string, 0, len(v.items))
	for i, item := range v.items {
		s := item.inline()
		if v.kind == object {
			s = v.keys[i] + "=" + s
		}
		parts = append(parts, s)
	}
	switch v.kind {
	case scalar:
		return replaceControlChars(v.text)
	case object:
		return "{" + strings.Join(parts, " ") + "}"
	default:
		return strings.Join(parts, " ")
	}
}

// replaceControlChars replaces control characters, so that text from a router cannot send escape sequences to the
// terminal.
func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}
