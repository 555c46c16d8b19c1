//go:build !race

package process

const raceEnabled = false
