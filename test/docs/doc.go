// Package docs checks the Markdown pages of the repository against the tree: the files that
// links point to exist, the tests that pages name exist, and docs/metrics.md lists exactly
// the metrics that the code names.
package docs
