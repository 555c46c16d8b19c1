//go:build baseline

package group

const baselinePolicy = true
