//go:build race

package process

const raceEnabled = true
