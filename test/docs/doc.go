// Package docs holds the checks of the documentation: links lead somewhere and the
// tests that pages name exist.
package docs
