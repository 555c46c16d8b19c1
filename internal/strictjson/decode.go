package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Hinter is implemented by types that decode from text; the hint says how a value
// is written, such as `a duration with its unit, such as "250ms"`.
type Hinter interface{ JSONHint() string }

type decoder struct{ data []byte }

func (d *decoder) decode(v *hujson.Value, into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return errors.New("strictjson: decode into a non-nil pointer")
	}
	return d.value(v, target.Elem(), "")
}

func (d *decoder) fail(v *hujson.Value, path, format string, args ...any) error {
	return place(d.data, v.StartOffset, path, fmt.Sprintf(format, args...))
}

func (d *decoder) value(v *hujson.Value, target reflect.Value, path string) error {
	if decodesItself(target) {
		return d.leaf(v, target, path)
	}
	if isNull(v) && canBeNil(target) {
		target.SetZero()
		return nil
	}
	switch target.Kind() {
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return d.value(v, target.Elem(), path)
	case reflect.Struct:
		return d.structure(v, target, path)
	case reflect.Map:
		return d.mapping(v, target, path)
	case reflect.Slice:
		if target.Type().Elem().Kind() == reflect.Uint8 {
			return d.leaf(v, target, path)
		}
		return d.list(v, target, path)
	default:
		return d.leaf(v, target, path)
	}
}

func decodesItself(target reflect.Value) bool {
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

// canBeNil reports whether the target has an empty state that encoding/json writes
// as null.
func canBeNil(target reflect.Value) bool {
	switch target.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return true
	}
	return false
}

func isNull(v *hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && string(literal) == "null"
}

func (d *decoder) structure(v *hujson.Value, target reflect.Value, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(v, path, "give an object in braces")
	}
	fields := fieldsOf(target)
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name, err := d.memberName(member, path, seen)
		if err != nil {
			return err
		}
		field, known := fields[name]
		if !known {
			return d.fail(&member.Name, join(path, name), "this field is not known: remove it or use one of %s", names(fields))
		}
		if err := d.value(&member.Value, field, join(path, name)); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) memberName(member *hujson.ObjectMember, path string, seen map[string]bool) (string, error) {
	var name string
	if err := json.Unmarshal(literalOf(&member.Name), &name); err != nil {
		return "", d.fail(&member.Name, path, "write the field's name as a string")
	}
	if seen[name] {
		return "", d.fail(&member.Name, join(path, name), "this field stands twice: keep one")
	}
	seen[name] = true
	return name, nil
}

func (d *decoder) mapping(v *hujson.Value, target reflect.Value, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(v, path, "give an object in braces")
	}
	if target.Type().Key().Kind() != reflect.String {
		return errors.Errorf("strictjson: %s: only maps with string keys can be decoded", path)
	}
	target.Set(reflect.MakeMap(target.Type()))
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name, err := d.memberName(member, path, seen)
		if err != nil {
			return err
		}
		item := reflect.New(target.Type().Elem()).Elem()
		if err := d.value(&member.Value, item, join(path, name)); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), item)
	}
	return nil
}

func (d *decoder) list(v *hujson.Value, target reflect.Value, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.fail(v, path, "give a list in brackets")
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		if err := d.value(&array.Elements[i], items.Index(i), fmt.Sprintf("%s.%d", path, i)); err != nil {
			return err
		}
	}
	target.Set(items)
	return nil
}

// leaf hands one value to encoding/json and turns its refusal into a remedy.
func (d *decoder) leaf(v *hujson.Value, target reflect.Value, path string) error {
	if isNull(v) {
		return d.fail(v, path, "give %s instead of null, or leave the field out", hint(target))
	}
	err := json.Unmarshal(literalOf(v), target.Addr().Interface())
	if err == nil {
		return nil
	}
	var placed *Error
	if errors.As(err, &placed) {
		return d.fail(v, join(path, placed.Path), "%s", placed.Remedy)
	}
	return d.fail(v, path, "give %s", hint(target))
}

func literalOf(v *hujson.Value) []byte {
	if literal, ok := v.Value.(hujson.Literal); ok {
		return literal
	}
	plain := v.Clone()
	plain.Standardize()
	return plain.Pack()
}

func hint(target reflect.Value) string {
	if h, ok := target.Addr().Interface().(Hinter); ok {
		return h.JSONHint()
	}
	switch target.Kind() {
	case reflect.String:
		return "a string in double quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "bytes in base64"
	}
	return "a value of type " + target.Type().String()
}

func fieldsOf(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = target.Field(i)
	}
	return fields
}

func names(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}
