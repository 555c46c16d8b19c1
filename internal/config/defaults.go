package config

import _ "embed"

//go:generate go run ../tools/settingsdoc

//go:embed defaults.jsonc
var defaultsDocument []byte

// DefaultsDocument returns all settings with their defaults and comments, as JSON with
// comments. rhubarbswitchd print-defaults prints it.
func DefaultsDocument() []byte { return defaultsDocument }
