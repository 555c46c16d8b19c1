// Package process holds tests that run daemons and stand-ins as processes and
// bring about the failures that the system is meant to bear.
package process
