// Package manifest reads and checks the objects that an operator keeps in files. A file is
// JSON with comments and contains one object or an array of objects.
package manifest

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/objectjson"
	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// Stdin is the path that means standard input.
const Stdin = "-"

// maxFileBytes is the size limit of a file. A larger one is refused.
const maxFileBytes = 16 << 20

// extensions are those of the files that are read from a folder. Others are skipped.
var extensions = []string{".json", ".jsonc", ".hujson"}

// Item is one checked object of a file.
type Item struct {
	File    string // path of the file, or Stdin
	Kind    object.Kind
	Name    string
	Version *object.Version // version on which the change was made; nil if the file names none
	Value   object.Value
}

// envelope is the form of an object in a file.
type envelope struct {
	Kind    object.Kind     `json:"kind"`
	Name    string          `json:"name"`
	Version *object.Version `json:"version"`
	Value   anyValue        `json:"value"`
}

// anyValue accepts every value while the envelope is decoded. The value is decoded afterwards,
// when its kind is known.
type anyValue struct{}

// UnmarshalJSON accepts every value and ignores it.
func (*anyValue) UnmarshalJSON([]byte) error { return nil }

// Read reads and checks every object in the given files and folders, and in their subfolders.
// It refuses two objects of the same kind and name.
func Read(stdin io.Reader, paths ...string) ([]Item, error) {
	var items []Item
	for _, path := range paths {
		files, err := listFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			found, err := readFile(stdin, file)
			if err != nil {
				return nil, errors.Wrap(err, file)
			}
			items = append(items, found...)
		}
	}
	if len(items) == 0 {
		return nil, errors.Errorf("no objects found: name a file, or a folder of files ending in %s", strings.Join(extensions, ", "))
	}
	return items, refuseDuplicates(items)
}

func refuseDuplicates(items []Item) error {
	type key struct {
		kind object.Kind
		name string
	}
	first := make(map[key]string)
	for _, item := range items {
		k := key{item.Kind, item.Name}
		if file, duplicate := first[k]; duplicate {
			return errors.Errorf("%s %q is both in %s and in %s: keep one", item.Kind, item.Name, file, item.File)
		}
		first[k] = item.File
	}
	return nil
}

// listFiles returns the path itself if it is a file or Stdin. If it is a folder, it returns
// the files with a known extension in it and in its subfolders.
func listFiles(path string) ([]string, error) {
	if path == Stdin {
		return []string{path}, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "name a file or folder that exists")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() && slices.Contains(extensions, filepath.Ext(file)) {
			files = append(files, file)
		}
		return err
	})
	return files, err
}

func readFile(stdin io.Reader, file string) ([]Item, error) {
	data, err := readAll(stdin, file)
	if err != nil {
		return nil, err
	}
	document, err := strictjson.Parse(data)
	if err != nil {
		return nil, err
	}
	var items []Item
	for _, element := range document.Elements() {
		item, err := decode(element)
		if err != nil {
			return nil, err
		}
		item.File = file
		items = append(items, item)
	}
	return items, nil
}

func readAll(stdin io.Reader, file string) ([]byte, error) {
	in := stdin
	if file != Stdin {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = errors.Errorf("file has more than %d bytes: split it", maxFileBytes)
	}
	return data, err
}

func decode(document *strictjson.Document) (Item, error) {
	var e envelope
	if err := document.Decode(&e); err != nil {
		return Item{}, err
	}
	if !slices.Contains(object.ConfigKinds, e.Kind) {
		return Item{}, document.ErrorAt("kind", "use contract, model, service, datacentre or host")
	}
	if err := object.CheckName(e.Name); err != nil {
		return Item{}, document.ErrorAt("name", err.Error())
	}
	value := document.Field("value")
	if value == nil {
		return Item{}, document.ErrorAt("value", "give the object's value")
	}
	decoded, err := objectjson.DecodeDocument(e.Kind, value)
	return Item{Kind: e.Kind, Name: e.Name, Version: e.Version, Value: decoded}, err
}
