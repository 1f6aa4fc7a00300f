package router

import (
	"reflect"
	"regexp"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

var snakeCase = regexp.MustCompile(`^[a-z0-9]+(_[a-z0-9]+)*(,omitempty)?$`)

// TestDumpNamesAreSnakeCase checks the JSON name of each field of the dump and of an explanation.
func TestDumpNamesAreSnakeCase(t *testing.T) {
	checkJSONTags(t, reflect.TypeFor[core.Explanation]())
	if n := checkJSONTags(t, reflect.TypeFor[Dump]()); n < 100 {
		t.Errorf("only %d fields in a dump", n)
	}
}

// checkJSONTags checks the JSON tags of all fields nested in a type and returns their number.
func checkJSONTags(t *testing.T, typ reflect.Type) int {
	switch typ.Kind() {
	case reflect.Slice, reflect.Pointer, reflect.Map:
		if typ.Kind() == reflect.Map && typ.Key().Kind() != reflect.String {
			t.Errorf("the keys of %s are not strings", typ)
		}
		return checkJSONTags(t, typ.Elem())
	case reflect.Struct:
	default:
		return 0
	}
	fields := 0
	for i := range typ.NumField() {
		f := typ.Field(i)
		if !f.Anonymous && !snakeCase.MatchString(f.Tag.Get("json")) {
			t.Errorf("%s.%s has the JSON name %q", typ, f.Name, f.Tag.Get("json"))
		}
		fields += 1 + checkJSONTags(t, f.Type)
	}
	return fields
}
