package httpcall

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrTooManyElements is returned for JSON with more elements than a limit.
var ErrTooManyElements = errors.New("httpcall: too many elements in the JSON of the response")

// DecodeJSON decodes a body with at most maxElements commas: an element of three bytes may take a
// hundred when it is decoded. Commas in strings count, too.
func DecodeJSON(body []byte, maxElements int, v any) error {
	if bytes.Count(body, []byte(",")) > maxElements {
		return ErrTooManyElements
	}
	return json.Unmarshal(body, v)
}
