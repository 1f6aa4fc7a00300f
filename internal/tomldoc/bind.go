package tomldoc

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// bindStruct stores the values of a table in a struct, in alphabetical order of the keys.
func (d *Document) bindStruct(path string, table map[string]any, v reflect.Value) {
	fields := fieldsByKey(v)
	for _, key := range slices.Sorted(maps.Keys(table)) {
		p := joinKey(path, key)
		f, ok := fields[key]
		if !ok {
			known := strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
			d.Errorf(p, "remove it or use one of: "+known, "unknown key %s", p)
			continue
		}
		d.bind(p, table[key], f)
	}
}

func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" {
			out[tag] = v.Field(i)
		}
	}
	return out
}

func (d *Document) bind(path string, value any, v reflect.Value) {
	if v.Type() == durationType {
		d.bindDuration(path, value, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if t, ok := value.(map[string]any); ok {
			d.bindStruct(path, t, v)
			return
		}
	case reflect.Slice:
		if a, ok := value.([]any); ok {
			d.bindSlice(path, a, v)
			return
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.bind(path, value, v.Elem())
		return
	default:
		d.bindScalar(path, value, v)
		return
	}
	d.wrongType(path, value, v)
}

func (d *Document) bindSlice(path string, array []any, v reflect.Value) {
	v.Set(reflect.MakeSlice(v.Type(), len(array), len(array)))
	for i, e := range array {
		d.bind(elementPath(path, i), e, v.Index(i))
	}
}

func (d *Document) bindScalar(path string, value any, v reflect.Value) {
	switch x := value.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			return
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return
		}
	case float64:
		if v.CanFloat() {
			v.SetFloat(x)
			return
		}
	case int64:
		d.bindInt(path, x, v)
		return
	}
	d.wrongType(path, value, v)
}

func (d *Document) bindInt(path string, x int64, v reflect.Value) {
	switch {
	case v.CanFloat():
		v.SetFloat(float64(x))
	case v.CanInt() && !v.OverflowInt(x):
		v.SetInt(x)
	case v.CanUint() && x >= 0 && !v.OverflowUint(uint64(x)):
		v.SetUint(uint64(x))
	case v.CanInt() || v.CanUint():
		d.invalidValue(path, "use a smaller whole number that is not negative", "%s: %d is out of range", path, x)
	default:
		d.wrongType(path, x, v)
	}
}

func (d *Document) bindDuration(path string, value any, v reflect.Value) {
	s, ok := value.(string)
	if !ok {
		d.wrongType(path, value, v)
		return
	}
	dur, err := time.ParseDuration(s)
	if err != nil {
		d.invalidValue(path, `write a number and a unit, as in "500ms", "30s" or "10m"`, "%s: %q is not a duration", path, s)
		return
	}
	v.SetInt(int64(dur))
}

// invalidValue adds a fault for a value that cannot be stored and suppresses later errors at its path.
func (d *Document) invalidValue(path, fix, format string, args ...any) {
	d.Errorf(path, fix, format, args...)
	d.invalid[path] = true
}

func (d *Document) wrongType(path string, value any, v reflect.Value) {
	d.invalidValue(path, "write "+expectedValue(v), "%s is %s", path, describeType(value))
}

// expectedValue describes the values that a field accepts.
func expectedValue(v reflect.Value) string {
	if v.Type() == durationType {
		return `a duration in quotes, as in "30s"`
	}
	switch v.Kind() {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list in brackets"
	case reflect.Struct:
		return "a table"
	default:
		return "a whole number"
	}
}

func describeType(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
