// Package process tests the system end to end. Its TestMain builds rhubarbswitchd and
// rhubarbstub once, with the race detector if the tests run with -race. Each test runs
// daemons, a stub platform and stub targets as separate processes on loopback, injects the
// failures that the system has to tolerate (killed and paused processes, cut connections, an
// unavailable platform), and compares what the callers received with what the targets ran.
package process
