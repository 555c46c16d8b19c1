package event

import "log/slog"

// The events. Thousands: 1 daemon, 2 requests, 3 claims, 4 groups and hosts,
// 5 configuration, 6 peers and membership, 7 accounts, 8 platform.
const (
	DaemonStarted      ID = 1001
	DaemonReady        ID = 1002
	DaemonDraining     ID = 1003
	DaemonStopped      ID = 1004
	RequestAnswered    ID = 2001
	RequestRetried     ID = 2002
	AnswerDropped      ID = 2003
	RequestQuarantined ID = 2004
	TargetDied         ID = 2005
	ClaimOwnerSilent   ID = 3001
	ClaimUnreachable   ID = 3002
	ConfigApplied      ID = 5001
	ConfigRefused      ID = 5002
	PeerLinked         ID = 6001
	PeerLost           ID = 6002
	PeerSilent         ID = 6003
	PeerRefused        ID = 6004
	DaemonPaused       ID = 6005
	DaemonIsolated     ID = 6006
	DaemonRejoined     ID = 6007
	PlatformLost       ID = 8001
	PlatformBack       ID = 8002
)

var catalogue = []Definition{
	{DaemonStarted, slog.LevelInfo, "daemon started", ""},
	{DaemonReady, slog.LevelInfo, "daemon ready for callers", ""},
	{DaemonDraining, slog.LevelInfo, "daemon takes no new work and finishes what is in flight", ""},
	{DaemonStopped, slog.LevelInfo, "daemon stopped with nothing in flight", ""},
	{RequestAnswered, slog.LevelInfo, "request answered", ""},
	{RequestRetried, slog.LevelInfo, "request sent again to another target", "If frequent, look at the target named."},
	{AnswerDropped, slog.LevelWarn, "answer dropped since it was not whole or not for this attempt", "Look at the target named: it mixes up or cuts answers."},
	{RequestQuarantined, slog.LevelWarn, "request refused since targets died running it", "Ask the customer not to send it again; see docs/operations/poison-request.md."},
	{TargetDied, slog.LevelWarn, "target died while running a request", "Look at the host named; if requests are quarantined see docs/operations/poison-request.md."},
	{ClaimOwnerSilent, slog.LevelInfo, "daemon asked to write a claim stays silent; writing it here", ""},
	{ClaimUnreachable, slog.LevelWarn, "call refused since its claim could not be written", "Look at the platform; callers repeat with the same key."},
	{ConfigApplied, slog.LevelInfo, "configuration in force", ""},
	{ConfigRefused, slog.LevelError, "object in the platform breaks a rule and is not applied", "Correct it with rhubarbctl apply."},
	{PeerLinked, slog.LevelInfo, "link to another daemon open", ""},
	{PeerLost, slog.LevelWarn, "link to another daemon lost", "If it persists, look at the daemon named and the network between."},
	{PeerSilent, slog.LevelWarn, "daemon not heard within the silence bound", "If it persists, look at the daemon named and the network between."},
	{PeerRefused, slog.LevelError, "link to another daemon refused", "Give both daemons the same cluster name, shared key and release."},
	{DaemonPaused, slog.LevelWarn, "daemon did not run for a while; it starts no work before a peer or the platform has answered", "If it persists, look at the daemon's host: it is overloaded, or the process was stopped."},
	{DaemonIsolated, slog.LevelError, "daemon hears neither the platform nor enough peers and takes no new work", "Look at the network between this daemon, the platform and the daemons named."},
	{DaemonRejoined, slog.LevelInfo, "daemon hears the platform or enough peers again", ""},
	{PlatformLost, slog.LevelWarn, "platform not heard; serving on what is known", "Look at the platform's object API; see docs/operations/platform-outage.md."},
	{PlatformBack, slog.LevelInfo, "platform heard again", ""},
}
