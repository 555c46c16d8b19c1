//go:build !baseline

package group

// baselinePolicy turns on the first simple policy of repair. Measurements compare
// with it; the product is built without.
const baselinePolicy = false
