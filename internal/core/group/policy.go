//go:build !baseline

package group

// baselinePolicy selects the baseline policy of repair, which dissolves every group that has
// lost a member. Measurements compare the default policy with it; releases are built without
// it.
const baselinePolicy = false
