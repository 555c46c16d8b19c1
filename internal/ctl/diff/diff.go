// Package diff compares two JSON values field by field.
package diff

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one field that differs.
type Change struct {
	Path string `json:"path"`          // such as "priority" or "models[0]"
	Old  string `json:"old,omitempty"` // value as JSON; empty if the field is added
	New  string `json:"new,omitempty"` // value as JSON; empty if the field is removed
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// JSON compares two JSON values and returns the changes ordered by path. Empty input means
// that there is no value.
func JSON(old, new []byte) ([]Change, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(new)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range before {
		if after[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: after[path]})
		}
	}
	for path, value := range after {
		if _, known := before[path]; !known {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the scalar fields of a JSON value by path.
func flatten(data []byte) (map[string]string, error) {
	flat := make(map[string]string)
	if len(data) == 0 {
		return flat, nil
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return flat, walk(value, "", flat)
}

func walk(value any, path string, flat map[string]string) error {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			if err := walk(item, join(path, name), flat); err != nil {
				return err
			}
		}
		return nil
	case []any:
		for i, item := range v {
			if err := walk(item, fmt.Sprintf("%s[%d]", path, i), flat); err != nil {
				return err
			}
		}
		return nil
	}
	text, err := json.Marshal(value)
	flat[path] = string(text)
	return err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
