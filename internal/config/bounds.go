package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// checkBounds compares every field that has a bounds tag, "low..high", with it.
func checkBounds(s *Settings) error {
	return boundsOf(reflect.ValueOf(s).Elem(), "")
}

func boundsOf(structure reflect.Value, path string) error {
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		value := structure.Field(i)
		if value.Kind() == reflect.Struct {
			if err := boundsOf(value, name); err != nil {
				return err
			}
			continue
		}
		tag, ok := field.Tag.Lookup("bounds")
		if !ok {
			continue
		}
		low, high, _ := strings.Cut(tag, "..")
		if number := numberOf(value); number < parseBound(low) || number > parseBound(high) {
			return broken(name, "use %s to %s, not %s", low, high, fmt.Sprint(value.Interface()))
		}
	}
	return nil
}

func numberOf(value reflect.Value) float64 {
	if value.CanInt() {
		return float64(value.Int())
	}
	return value.Float()
}

// parseBound reads a number, or a duration as nanoseconds. Bounds stand in struct
// tags, so a wrong one is a programming error.
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
