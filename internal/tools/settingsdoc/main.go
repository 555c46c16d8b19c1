// Command settingsdoc generates docs/settings.md and the document of defaults from the
// comments in internal/config/settings.go. Run it with go generate ./internal/config.
package main

import (
	"log"
	"os"
	"path/filepath"
)

// outputs renders all generated files, by path relative to the repository's root.
func outputs(root string) (map[string][]byte, error) {
	fields, err := loadFields(filepath.Join(root, "internal/config/settings.go"))
	if err != nil {
		return nil, err
	}
	defaults, err := defaultsDocument(fields)
	if err != nil {
		return nil, err
	}
	return map[string][]byte{
		"internal/config/defaults.jsonc": defaults,
		"docs/settings.md":               page(fields),
	}, nil
}

func main() {
	root := "../.." // go generate runs the command in internal/config
	files, err := outputs(root)
	if err != nil {
		log.Fatal(err)
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(root, name), data, 0o644); err != nil {
			log.Fatal(err)
		}
	}
}
