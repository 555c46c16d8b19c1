// Package strictjson decodes JSON with comments into Go structs and refuses what
// it does not know. Every error names the line, the column and the remedy.
package strictjson

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds the nesting of objects and arrays.
const MaxDepth = 32

// Error is a place in a document and what to do about it.
type Error struct {
	Line, Column int    // from 1; columns count characters
	Path         string // of the field, such as "callers.listen"; may be empty
	Remedy       string
}

// Error returns the place, the field and the remedy.
func (e *Error) Error() string {
	place := fmt.Sprintf("line %d, column %d: ", e.Line, e.Column)
	if e.Path != "" {
		place += e.Path + ": "
	}
	return place + e.Remedy
}

// Document is a parsed document whose fields can be found again by path.
type Document struct {
	data []byte
	root hujson.Value
}

// Parse parses JSON with comments and trailing commas.
func Parse(data []byte) (*Document, error) {
	if at := tooDeep(data); at >= 0 {
		return nil, place(data, at, "", fmt.Sprintf("nest objects and arrays at most %d deep", MaxDepth))
	}
	if at := invalidUTF8(data); at >= 0 {
		return nil, place(data, at, "", "save the document as UTF-8")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(data, err)
	}
	return &Document{data: data, root: root}, nil
}

// Decode stores the document in the value that into points to. Fields that the
// document lacks keep their values.
func (d *Document) Decode(into any) error {
	return (&decoder{data: d.data}).decode(&d.root, into)
}

// ErrorAt returns an error at the field with a dotted path, or at the nearest
// parent that the document has.
func (d *Document) ErrorAt(path, remedy string) error {
	at := &d.root
	for pointer := path; pointer != ""; {
		if v := d.root.Find("/" + strings.ReplaceAll(pointer, ".", "/")); v != nil {
			at = v
			break
		}
		cut := strings.LastIndexByte(pointer, '.')
		pointer = pointer[:max(cut, 0)]
	}
	return place(d.data, at.StartOffset, path, remedy)
}

// Elements returns the raw elements if the document is an array, or the document
// itself as the only element.
func (d *Document) Elements() []*Document {
	array, ok := d.root.Value.(*hujson.Array)
	if !ok {
		return []*Document{d}
	}
	docs := make([]*Document, len(array.Elements))
	for i := range array.Elements {
		docs[i] = &Document{data: d.data, root: array.Elements[i]}
	}
	return docs
}

// Field returns the value of a field of the document, or nil if it has none.
func (d *Document) Field(name string) *Document {
	object, ok := d.root.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		literal, isLiteral := object.Members[i].Name.Value.(hujson.Literal)
		if isLiteral && literal.String() == name {
			return &Document{data: d.data, root: object.Members[i].Value}
		}
	}
	return nil
}

// Unmarshal parses and decodes in one step.
func Unmarshal(data []byte, into any) error {
	d, err := Parse(data)
	if err != nil {
		return err
	}
	return d.Decode(into)
}

func place(data []byte, offset int, path, remedy string) *Error {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:]) + 1
	return &Error{Line: line, Column: column, Path: path, Remedy: remedy}
}

// syntaxError takes the place out of a message such as
// "hujson: line 3, column 5: invalid character".
func syntaxError(data []byte, err error) error {
	var line, column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr != nil {
		return place(data, len(data), "", text)
	}
	_, rest, _ := strings.Cut(text, ": ")
	return &Error{Line: line, Column: column, Remedy: "correct the JSON here: " + rest}
}

func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}
