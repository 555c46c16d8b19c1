// Command eventsdoc generates docs/events.md from the catalogue of events and from the code
// that logs them. Run it with go generate ./internal/event.
package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"log"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const pageHead = `# Events in the log

<!-- Made by go generate ./internal/event from internal/event/catalogue.go and the code that logs. -->

Every line of the daemon's log carries the number of its event in the field
` + "`event`" + `. The thousands tell the part: 1 daemon, 2 requests, 3 claims, 4 groups and
hosts, 5 configuration, 6 peers and membership, 7 accounts, 8 platform. Numbers
are never given to another event.

| event | level | message | fields | what to do |
| --- | --- | --- | --- | --- |
`

// constantNames returns the names of the catalogue's constants by event number.
func constantNames(root string) (map[event.ID]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/event/catalogue.go"), nil, 0)
	if err != nil {
		return nil, err
	}
	found := make(map[event.ID]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.INT {
			if number, err := strconv.Atoi(literal.Value); err == nil {
				found[event.ID(number)] = spec.Names[0].Name
			}
		}
		return true
	})
	return found, nil
}

// page renders docs/events.md.
func page(root string) ([]byte, error) {
	constants, err := constantNames(root)
	if err != nil {
		return nil, err
	}
	used, err := collect(root)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteString(pageHead)
	for _, d := range event.All() {
		action := d.Action
		if action == "" {
			action = "Nothing."
		}
		fields := strings.Join(used[constants[d.ID]], ", ")
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", d.ID, strings.ToLower(d.Level.String()), d.Message, fields, action)
	}
	return b.Bytes(), nil
}

func main() {
	root := "../.." // go generate runs the command in internal/event
	data, err := page(root)
	if err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(root, "docs/events.md"), data, 0o644); err != nil {
		log.Fatal(err)
	}
}
