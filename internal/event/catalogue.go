package event

import "log/slog"

// The events. Thousands: 1 daemon, 2 requests, 3 claims, 4 groups and hosts,
// 5 configuration, 6 peers and membership, 7 accounts, 8 platform.
const (
	DaemonStarted      ID = 1001
	DaemonReady        ID = 1002
	DaemonDraining     ID = 1003
	DaemonStopped      ID = 1004
	SettingsRead       ID = 1005
	RequestAnswered    ID = 2001
	RequestRetried     ID = 2002
	AnswerDropped      ID = 2003
	RequestQuarantined ID = 2004
	TargetDied         ID = 2005
	RequestSent        ID = 2006
	RequestMoved       ID = 2007
	ClaimOwnerSilent   ID = 3001
	ClaimUnreachable   ID = 3002
	GroupFormed        ID = 4001
	GroupBroken        ID = 4002
	GroupWaiting       ID = 4003
	GroupRepaired      ID = 4004
	GroupDraining      ID = 4005
	GroupDissolved     ID = 4006
	GroupOpened        ID = 4007
	GroupClosing       ID = 4008
	ModelStaging       ID = 4009
	DomainTaken        ID = 4010
	DomainReleased     ID = 4011
	DomainLost         ID = 4012
	DomainDark         ID = 4013
	DomainShort        ID = 4014
	HostFlapping       ID = 4020
	HostStraggling     ID = 4021
	HostRetired        ID = 4022
	OrderRefused       ID = 4023
	OrderUnheard       ID = 4024
	HostSilent         ID = 4025
	OrderAnswered      ID = 4026
	ControlTaken       ID = 4027
	ControlLost        ID = 4028
	ControlReleased    ID = 4029
	HostSuspected      ID = 4032
	HostListed         ID = 4015
	HostGone           ID = 4016
	HostRestarted      ID = 4017
	HostDraining       ID = 4018
	DataCentresOut     ID = 4019
	DaemonMarked       ID = 4030
	DaemonRemoved      ID = 4031
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
	ChangesRelayed     ID = 8003
	ChangesLost        ID = 8004
)

var catalogue = []Definition{
	{DaemonStarted, slog.LevelInfo, "daemon started", ""},
	{DaemonReady, slog.LevelInfo, "daemon ready for callers", ""},
	{DaemonDraining, slog.LevelInfo, "daemon takes no new work and finishes what is in flight", ""},
	{DaemonStopped, slog.LevelInfo, "daemon stopped with nothing in flight", ""},
	{SettingsRead, slog.LevelInfo, "settings read again", ""},
	{RequestAnswered, slog.LevelInfo, "request answered", ""},
	{RequestRetried, slog.LevelInfo, "request sent again to another target", "If frequent, look at the target named."},
	{AnswerDropped, slog.LevelWarn, "answer dropped since it was not whole or not for this attempt", "Look at the target named: it mixes up or cuts answers."},
	{RequestQuarantined, slog.LevelWarn, "request refused since targets died running it", "Ask the customer not to send it again; see docs/operations/poison-request.md."},
	{TargetDied, slog.LevelWarn, "target died while running a request", "Look at the host named; if requests are quarantined see docs/operations/poison-request.md."},
	{RequestSent, slog.LevelInfo, "request sent to a target", ""},
	{RequestMoved, slog.LevelInfo, "target brings nothing; request goes on elsewhere", "If frequent for one host, look at the host named."},
	{ClaimOwnerSilent, slog.LevelInfo, "daemon asked to write a claim stays silent; writing it here", ""},
	{ClaimUnreachable, slog.LevelWarn, "call refused since its claim could not be written", "Look at the platform; callers repeat with the same key."},
	{GroupFormed, slog.LevelInfo, "group assigned to hosts", ""},
	{GroupBroken, slog.LevelWarn, "group out of service since a member is missing", "If it persists, see docs/operations/group-stuck.md."},
	{GroupWaiting, slog.LevelInfo, "group waits for the return of a member", ""},
	{GroupRepaired, slog.LevelInfo, "group has other members", ""},
	{GroupDraining, slog.LevelInfo, "group takes no new work and finishes what is in flight", ""},
	{GroupDissolved, slog.LevelInfo, "group dissolved", ""},
	{GroupOpened, slog.LevelInfo, "head of a group takes requests", ""},
	{GroupClosing, slog.LevelInfo, "head of a group is told to stop", "If frequent for one host, look at the host named in the reason."},
	{ModelStaging, slog.LevelInfo, "weights are loaded onto a host outside of groups", ""},
	{DomainTaken, slog.LevelInfo, "control of a fabric domain taken", ""},
	{DomainReleased, slog.LevelInfo, "control of a fabric domain handed back", ""},
	{DomainLost, slog.LevelWarn, "control of a fabric domain lost to another daemon", "If frequent, look at the daemon named: it was paused or cut off."},
	{DomainDark, slog.LevelError, "no host of a fabric domain answers; its groups are left as they are", "Look at the domain's switch and power."},
	{DomainShort, slog.LevelWarn, "fabric domain has too few hosts for its groups", "Add hosts or lower the groups of the models named; see docs/operations/group-stuck.md."},
	{HostListed, slog.LevelInfo, "host registered", ""},
	{HostGone, slog.LevelInfo, "host registered no more", ""},
	{HostRestarted, slog.LevelInfo, "host registered again after a restart", ""},
	{HostDraining, slog.LevelInfo, "host takes no new work and leaves", ""},
	{DataCentresOut, slog.LevelInfo, "data centres that get no work", ""},
	{HostFlapping, slog.LevelWarn, "host comes and goes and is left out for a while", "Look at the host named."},
	{HostStraggling, slog.LevelWarn, "host is slow to join its group and is replaced", "Look at the host named."},
	{HostRetired, slog.LevelInfo, "engine told to end so that its host can change groups", ""},
	{OrderRefused, slog.LevelWarn, "order refused for its fencing number", "If frequent, look for a daemon that is paused again and again."},
	{OrderUnheard, slog.LevelWarn, "order without an answer; the host's report decides", ""},
	{HostSilent, slog.LevelWarn, "engine does not answer for its report", "Look at the host named, or at the network between it and this daemon."},
	{OrderAnswered, slog.LevelInfo, "order to an engine answered", ""},
	{HostSuspected, slog.LevelInfo, "requests at an engine bring nothing; the daemon that orders the groups is told", ""},
	{ControlTaken, slog.LevelInfo, "this daemon orders the groups from now on", ""},
	{ControlLost, slog.LevelWarn, "this daemon orders the groups no more", "If frequent, look at this daemon's path to the platform."},
	{ControlReleased, slog.LevelInfo, "control of the groups handed back", ""},
	{DaemonMarked, slog.LevelWarn, "silent daemon marked as leaving in the platform", "If the daemon is alive, look at its links."},
	{DaemonRemoved, slog.LevelInfo, "object of a daemon that died removed from the platform", ""},
	{ConfigApplied, slog.LevelInfo, "configuration in force", ""},
	{ConfigRefused, slog.LevelError, "object in the platform breaks a rule and is not applied", "Correct it with rhubarbctl apply."},
	{PeerLinked, slog.LevelInfo, "link to another daemon open", ""},
	{PeerLost, slog.LevelWarn, "link to another daemon lost", "If it persists, look at the daemon named and the network between."},
	{PeerSilent, slog.LevelWarn, "daemon not heard within the silence bound", "If it persists, look at the daemon named and the network between."},
	{PeerRefused, slog.LevelError, "link to another daemon refused", "Give both daemons the same cluster name, shared key and release."},
	{DaemonPaused, slog.LevelWarn, "daemon did not run for a while; it starts no work before a peer or the platform has answered", "If it persists, look at the daemon's host: it is overloaded, or the process was stopped; see docs/operations/daemon-isolated.md."},
	{DaemonIsolated, slog.LevelError, "daemon hears neither the platform nor enough peers and takes no new work", "Look at the network between this daemon, the platform and the daemons named; see docs/operations/daemon-isolated.md."},
	{DaemonRejoined, slog.LevelInfo, "daemon hears the platform or enough peers again", ""},
	{PlatformLost, slog.LevelWarn, "platform not heard; serving on what is known", "Look at the platform's object API; see docs/operations/platform-outage.md."},
	{PlatformBack, slog.LevelInfo, "platform heard again", ""},
	{ChangesRelayed, slog.LevelInfo, "changes of hosts come from another daemon", ""},
	{ChangesLost, slog.LevelInfo, "another daemon does not pass changes of hosts on; the platform is watched", "If frequent, look at the daemon named."},
}
