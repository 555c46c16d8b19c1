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

// Hinter is implemented by types with their own decoding. The hint describes how a value is
// written, such as `a duration with its unit, such as "250ms"`; errors include it.
type Hinter interface{ JSONHint() string }

type decoder struct{ data []byte }

func (d *decoder) decode(v *hujson.Value, into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return errors.New("strictjson: decode into a non-nil pointer")
	}
	return d.decodeValue(v, target.Elem(), "")
}

func (d *decoder) errorf(v *hujson.Value, path, format string, args ...any) error {
	return errorAt(d.data, v.StartOffset, path, fmt.Sprintf(format, args...))
}

func (d *decoder) decodeValue(v *hujson.Value, target reflect.Value, path string) error {
	if hasUnmarshaler(target) {
		return d.decodeLeaf(v, target, path)
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
		return d.decodeValue(v, target.Elem(), path)
	case reflect.Struct:
		return d.decodeStruct(v, target, path)
	case reflect.Map:
		return d.decodeMap(v, target, path)
	case reflect.Slice:
		if target.Type().Elem().Kind() == reflect.Uint8 {
			return d.decodeLeaf(v, target, path)
		}
		return d.decodeSlice(v, target, path)
	default:
		return d.decodeLeaf(v, target, path)
	}
}

func hasUnmarshaler(target reflect.Value) bool {
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

// canBeNil reports whether the target's zero value is one that encoding/json encodes as null.
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

func (d *decoder) decodeStruct(v *hujson.Value, target reflect.Value, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorf(v, path, "give an object in braces")
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
			return d.errorf(&member.Name, joinPath(path, name), "this field is not known: remove it or use one of %s", fieldNames(fields))
		}
		if err := d.decodeValue(&member.Value, field, joinPath(path, name)); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) memberName(member *hujson.ObjectMember, path string, seen map[string]bool) (string, error) {
	var name string
	if err := json.Unmarshal(standardJSON(&member.Name), &name); err != nil {
		return "", d.errorf(&member.Name, path, "write the field's name as a string")
	}
	if seen[name] {
		return "", d.errorf(&member.Name, joinPath(path, name), "this field stands twice: keep one")
	}
	seen[name] = true
	return name, nil
}

func (d *decoder) decodeMap(v *hujson.Value, target reflect.Value, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorf(v, path, "give an object in braces")
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
		if err := d.decodeValue(&member.Value, item, joinPath(path, name)); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), item)
	}
	return nil
}

func (d *decoder) decodeSlice(v *hujson.Value, target reflect.Value, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorf(v, path, "give a list in brackets")
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		if err := d.decodeValue(&array.Elements[i], items.Index(i), fmt.Sprintf("%s.%d", path, i)); err != nil {
			return err
		}
	}
	target.Set(items)
	return nil
}

// decodeLeaf decodes one value with encoding/json and converts an error to one with a position
// and a remedy.
func (d *decoder) decodeLeaf(v *hujson.Value, target reflect.Value, path string) error {
	if isNull(v) {
		return d.errorf(v, path, "give %s instead of null, or leave the field out", hint(target))
	}
	err := json.Unmarshal(standardJSON(v), target.Addr().Interface())
	if err == nil {
		return nil
	}
	var placed *Error
	if errors.As(err, &placed) {
		return d.errorf(v, joinPath(path, placed.Path), "%s", placed.Remedy)
	}
	return d.errorf(v, path, "give %s", hint(target))
}

// standardJSON returns a value as JSON without comments and trailing commas.
func standardJSON(v *hujson.Value) []byte {
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

// fieldsOf returns the exported fields of a struct by their JSON names.
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

func fieldNames(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func joinPath(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}
