package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
)

// field is one setting or section, with its comment in the source.
type field struct {
	path      string
	name      string
	comment   []string // lines without the line of default and bounds
	value     reflect.Value
	tagBounds string // from the struct tag
	// required, defaultValue and commentBounds are read from the comment.
	required      bool
	defaultValue  string
	commentBounds string
	fields        []field // of a section; empty for a setting
}

func (f field) isSection() bool { return len(f.fields) > 0 }

// comments holds the lines of the doc comments of struct fields, by "Type.Field".
type comments map[string][]string

func readComments(source string) (comments, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	found := make(comments)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range structure.Fields.List {
				text := strings.TrimSpace(f.Doc.Text())
				found[spec.Name.Name+"."+f.Names[0].Name] = strings.Split(text, "\n")
			}
		}
		return true
	})
	return found, nil
}

// defaultLine matches the last line of the comment of a setting that is not required.
var defaultLine = regexp.MustCompile(`^Default: (.+?)\.(?: Bounds: (\S+) to (\S+)\.)?$`)

// describe returns the settings of a struct with their comments, and checks each comment.
func describe(structure reflect.Value, path string, doc comments) ([]field, error) {
	var fields []field
	for i := range structure.NumField() {
		declared := structure.Type().Field(i)
		name, _, _ := strings.Cut(declared.Tag.Get("json"), ",")
		f := field{path: strings.TrimPrefix(path+"."+name, "."), name: name, value: structure.Field(i), tagBounds: declared.Tag.Get("bounds")}
		f.comment = doc[structure.Type().Name()+"."+declared.Name]
		var err error
		if isSectionValue(f.value) {
			f.fields, err = describe(f.value, f.path, doc)
		} else {
			err = f.checkComment()
		}
		if err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	return fields, nil
}

func isSectionValue(value reflect.Value) bool {
	_, secret := value.Interface().(config.Secret)
	return value.Kind() == reflect.Struct && !secret
}

// checkComment reads default and bounds from the last line of the comment, and returns an
// error if they differ from the default in the code or the bounds in the tag.
func (f *field) checkComment() error {
	text := strings.Join(f.comment, "\n")
	if strings.HasSuffix(text, "Required.") {
		f.required = true
		return nil
	}
	last := f.comment[len(f.comment)-1]
	match := defaultLine.FindStringSubmatch(last)
	if match == nil {
		return errors.Errorf("%s: end the comment with \"Required.\" or with a separate line \"Default: ...\"", f.path)
	}
	f.comment = f.comment[:len(f.comment)-1]
	f.defaultValue = match[1]
	value, err := json.Marshal(f.value.Interface())
	if err != nil {
		return err
	}
	if string(value) != f.defaultValue {
		return errors.Errorf("%s: the comment says default %s, the code %s", f.path, f.defaultValue, value)
	}
	if match[2] != "" {
		f.commentBounds = match[2] + " to " + match[3]
	}
	if strings.Replace(f.tagBounds, "..", " to ", 1) != f.commentBounds {
		return errors.Errorf("%s: the comment says bounds %q, the tag %q", f.path, f.commentBounds, f.tagBounds)
	}
	return nil
}

// loadFields returns all settings, with the comments in the source file.
func loadFields(source string) ([]field, error) {
	doc, err := readComments(source)
	if err != nil {
		return nil, err
	}
	return describe(reflect.ValueOf(config.Default()).Elem(), "", doc)
}

// defaultsDocument renders the defaults of all settings as JSON with comments.
func defaultsDocument(fields []field) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("// Settings of rhubarbswitchd with every default. Fill in what is required and\n// leave out what shall keep its default.\n{\n")
	if err := writeFields(&b, fields, "\t"); err != nil {
		return nil, err
	}
	b.WriteString("}\n")
	return b.Bytes(), nil
}

func writeFields(b *bytes.Buffer, fields []field, indent string) error {
	for _, f := range fields {
		for _, line := range append(f.comment, f.boundsLines()...) {
			fmt.Fprintf(b, "%s// %s\n", indent, line)
		}
		if f.isSection() {
			fmt.Fprintf(b, "%s%q: {\n", indent, f.name)
			if err := writeFields(b, f.fields, indent+"\t"); err != nil {
				return err
			}
			fmt.Fprintf(b, "%s},\n", indent)
			continue
		}
		value, err := json.Marshal(f.value.Interface())
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "%s%q: %s,\n", indent, f.name, value)
	}
	return nil
}

func (f field) boundsLines() []string {
	if f.commentBounds == "" {
		return nil
	}
	return []string{"From " + f.commentBounds + "."}
}

const pageHead = `# Settings of the daemon

<!-- Made by go generate ./internal/config from the comments in internal/config/settings.go. -->

` + "`rhubarbswitchd FILE`" + ` reads one file of JSON with comments. An unknown or
repeated field, a value of the wrong kind or without its unit, a value out of
bounds and a contradiction between two fields are refused with line, column and
remedy before anything starts. Check a file with ` + "`rhubarbswitchd check-settings FILE`" + `
and see all defaults with ` + "`rhubarbswitchd print-defaults`" + `.

Durations are strings with their unit, such as ` + "`\"250ms\"`, `\"30s\"` or `\"24h\"`" + `. Secrets
never stand in the file: name their place, ` + "`{\"file\": \"/run/keys/peer\"}` or `{\"env\": \"PEER_KEY\"}`" + `.
They are read at the start and never logged.

The least that a daemon needs:

` + "```json" + `
{
	"cluster": "walvis",
	"daemon": "entry-1",
	"dataCentre": "erongo-1",
	"callers": {"listen": "10.0.0.1:8443"},
	"operators": {"listen": "127.0.0.1:8444"},
	"peers": {"listen": "10.0.0.1:8445", "key": {"file": "/run/keys/peer"}},
	"platform": {"address": "http://10.0.9.1:7000"},
}
` + "```" + `

| field | meaning | default | bounds |
| --- | --- | --- | --- |
`

// page renders docs/settings.md.
func page(fields []field) []byte {
	var b bytes.Buffer
	b.WriteString(pageHead)
	writeRows(&b, fields)
	return b.Bytes()
}

func writeRows(b *bytes.Buffer, fields []field) {
	for _, f := range fields {
		meaning := strings.ReplaceAll(strings.Join(f.comment, " "), "|", "\\|")
		defaultCell := "`" + f.defaultValue + "`"
		if f.required {
			defaultCell = "required"
		}
		if f.isSection() {
			defaultCell = ""
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.path, meaning, defaultCell, f.commentBounds)
		writeRows(b, f.fields)
	}
}
