// Package strictjson decodes JSON with comments and trailing commas into Go structs. It
// refuses unknown and repeated fields, deep nesting and invalid UTF-8. Every error that a
// document causes states the line, the column and the remedy.
package strictjson

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds the nesting of objects and arrays; a document with deeper nesting is refused.
const MaxDepth = 32

// Error reports the position of a fault in a document and its remedy.
type Error struct {
	Line, Column int    // from 1; columns count characters
	Path         string // of the field, such as "callers.listen"; may be empty
	Remedy       string // what the author of the document must change
}

func (e *Error) Error() string {
	place := fmt.Sprintf("line %d, column %d: ", e.Line, e.Column)
	if e.Path != "" {
		place += e.Path + ": "
	}
	return place + e.Remedy
}

// Document is a parsed document, or a part of one. It keeps the positions of all fields for
// error messages.
type Document struct {
	data []byte       // the complete text, for positions in errors
	root hujson.Value // the part that this Document represents
}

// Parse parses JSON with comments and trailing commas.
func Parse(data []byte) (*Document, error) {
	if at := findTooDeep(data); at >= 0 {
		return nil, errorAt(data, at, "", fmt.Sprintf("nest objects and arrays at most %d deep", MaxDepth))
	}
	if at := findInvalidUTF8(data); at >= 0 {
		return nil, errorAt(data, at, "", "save the document as UTF-8")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(data, err)
	}
	return &Document{data: data, root: root}, nil
}

// Decode stores the document in the value that into points to. Fields that are absent from the
// document keep their values.
func (d *Document) Decode(into any) error {
	return (&decoder{data: d.data}).decode(&d.root, into)
}

// ErrorAt returns an Error with the position of the field at a dotted path, or of its nearest
// parent in the document.
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
	return errorAt(d.data, at.StartOffset, path, remedy)
}

// Elements returns the undecoded elements if the document is an array, or else the document
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

// Field returns the undecoded value of a field of the document, or nil if the document is not
// an object or lacks the field.
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

func errorAt(data []byte, offset int, path, remedy string) *Error {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:]) + 1
	return &Error{Line: line, Column: column, Path: path, Remedy: remedy}
}

// syntaxError converts an error of the parser. It reads the position from the text, such as
// "hujson: line 3, column 5: invalid character".
func syntaxError(data []byte, err error) error {
	var line, column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr != nil {
		return errorAt(data, len(data), "", text)
	}
	_, rest, _ := strings.Cut(text, ": ")
	return &Error{Line: line, Column: column, Remedy: "correct the JSON here: " + rest}
}

// findInvalidUTF8 returns the offset of the first invalid byte, or -1.
func findInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}
