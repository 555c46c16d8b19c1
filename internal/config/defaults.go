package config

import _ "embed"

//go:generate go run ../tools/settingsdoc

//go:embed defaults.jsonc
var defaultsDocument []byte

// DefaultsDocument returns the settings with all defaults and comments, as
// rhubarbswitchd print-defaults shows them.
func DefaultsDocument() []byte { return defaultsDocument }
