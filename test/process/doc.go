// Package process tests the system end to end. Each test builds rhubarbswitchd and
// rhubarbstub, runs daemons, a stub platform and stub targets as separate processes on
// loopback, injects the failures that the system has to tolerate (killed and paused
// processes, cut connections, an unavailable platform), and compares what the callers
// received with what the targets ran. With -race the programs are built with the race
// detector as well.
package process
