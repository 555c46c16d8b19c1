package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// checkBounds checks every field that has a bounds tag, "low..high", against its bounds.
func checkBounds(s *Settings) error {
	return checkStructBounds(reflect.ValueOf(s).Elem(), "")
}

// checkStructBounds checks the fields of a struct and of the structs in it. path is the
// dotted path of the struct in the settings, or "" for the settings themselves.
func checkStructBounds(structure reflect.Value, path string) error {
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		value := structure.Field(i)
		if value.Kind() == reflect.Struct {
			if err := checkStructBounds(value, name); err != nil {
				return err
			}
			continue
		}
		tag, ok := field.Tag.Lookup("bounds")
		if !ok {
			continue
		}
		low, high, _ := strings.Cut(tag, "..")
		if number := toFloat(value); number < parseBound(low) || number > parseBound(high) {
			return fieldErrorf(name, "use %s to %s, not %s", low, high, fmt.Sprint(value.Interface()))
		}
	}
	return nil
}

func toFloat(value reflect.Value) float64 {
	if value.CanInt() {
		return float64(value.Int())
	}
	return value.Float()
}

// parseBound parses a number, or a duration, which it returns in nanoseconds. It panics if
// the text is neither: bounds come from struct tags, so an invalid one is a programming error.
func parseBound(text string) float64 {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("config: bounds tag: " + err.Error())
	}
	return float64(d)
}
