package event

import "log/slog"

// The numbers of the events. A number is never reused for another event. The thousands digit
// names the part of the system: 1 daemon, 2 requests, 3 claims, 4 groups and hosts,
// 5 configuration, 6 peers and membership, 7 accounts, 8 platform.
const (
	DaemonStarted          ID = 1001
	DaemonReady            ID = 1002
	DaemonDraining         ID = 1003
	DaemonStopped          ID = 1004
	SettingsRead           ID = 1005
	CallersCut             ID = 1006
	RequestAnswered        ID = 2001
	RequestRetried         ID = 2002
	AnswerDropped          ID = 2003
	RequestQuarantined     ID = 2004
	TargetDied             ID = 2005
	RequestSent            ID = 2006
	RequestMoved           ID = 2007
	AttemptBroken          ID = 2008
	FingerprintCondemned   ID = 2009
	FingerprintReleased    ID = 2010
	RequestTried           ID = 2011
	FingerprintProvisional ID = 2012
	SuspicionCleared       ID = 2013
	RequestHandedOver      ID = 2014
	HandoverRefused        ID = 2015
	RequestAborted         ID = 2016
	RefusedForMemory       ID = 2017
	EstimateWrong          ID = 2018
	PressureChanged        ID = 2019
	RetryBudgetSpent       ID = 2020
	TakeoverEnded          ID = 2021
	ClaimOwnerUnresponsive ID = 3001
	ClaimUnreachable       ID = 3002
	GroupFormed            ID = 4001
	GroupBroken            ID = 4002
	GroupWaiting           ID = 4003
	GroupRepaired          ID = 4004
	GroupDraining          ID = 4005
	GroupDissolved         ID = 4006
	GroupOpened            ID = 4007
	GroupClosing           ID = 4008
	ModelStaging           ID = 4009
	DomainAcquired         ID = 4010
	DomainReleased         ID = 4011
	DomainLost             ID = 4012
	DomainUnreachable      ID = 4013
	DomainLacksHosts       ID = 4014
	HostFlapping           ID = 4020
	HostStraggling         ID = 4021
	HostRetired            ID = 4022
	OrderRefused           ID = 4023
	OrderUnanswered        ID = 4024
	HostUnresponsive       ID = 4025
	OrderAnswered          ID = 4026
	ControlAcquired        ID = 4027
	ControlLost            ID = 4028
	ControlReleased        ID = 4029
	HostSuspected          ID = 4032
	HostLeaving            ID = 4033
	HostQuiet              ID = 4034
	HostQuietInvalid       ID = 4035
	HostEntryOutdated      ID = 4036
	HostLimited            ID = 4037
	HostLimitEnded         ID = 4038
	HostLimitInvalid       ID = 4039
	HostsMoving            ID = 4040
	DemandKnown            ID = 4041
	GroupAdopted           ID = 4042
	GroupResumed           ID = 4043
	GroupHidden            ID = 4044
	HostRegistered         ID = 4015
	HostDeregistered       ID = 4016
	HostRestarted          ID = 4017
	HostDraining           ID = 4018
	DataCentresOut         ID = 4019
	DaemonMarkedLeaving    ID = 4030
	DaemonRemoved          ID = 4031
	ConfigApplied          ID = 5001
	ConfigRefused          ID = 5002
	ConfigOlder            ID = 5003
	PeerLinked             ID = 6001
	PeerLost               ID = 6002
	PeerUnresponsive       ID = 6003
	PeerRefused            ID = 6004
	DaemonPaused           ID = 6005
	DaemonIsolated         ID = 6006
	DaemonRejoined         ID = 6007
	PlatformUnreachable    ID = 8001
	PlatformReachable      ID = 8002
	ChangesRelayed         ID = 8003
	ChangeRelayLost        ID = 8004
	StoreRestored          ID = 8005
	HostsUnreachable       ID = 8006
	HostsReachable         ID = 8007
	EntrySkipped           ID = 8008
)

// catalogue defines each event, in the order of docs/events.md.
var catalogue = []Definition{
	{DaemonStarted, slog.LevelInfo, "daemon started", ""},
	{DaemonReady, slog.LevelInfo, "daemon ready for requests", ""},
	{DaemonDraining, slog.LevelInfo, "daemon stopping: finishes the requests in flight", ""},
	{DaemonStopped, slog.LevelInfo, "daemon stopped", ""},
	{SettingsRead, slog.LevelInfo, "settings file read again", ""},
	{CallersCut, slog.LevelWarn, "connections of callers closed, or bodies ended, to keep within memory and descriptors", "See docs/operations/hostile-clients.md."},
	{RequestAnswered, slog.LevelInfo, "request answered", ""},
	{RequestRetried, slog.LevelInfo, "request sent to another target", "If frequent, check the target named."},
	{AnswerDropped, slog.LevelWarn, "answer dropped: incomplete, late or not for this attempt", "Check the target named: it mixes up or truncates answers."},
	{RequestQuarantined, slog.LevelWarn, "request refused: targets died while running it", "Ask the customer not to send it again; see docs/operations/poison-request.md."},
	{TargetDied, slog.LevelWarn, "target died while running a request", "Check the host named; if requests are quarantined see docs/operations/poison-request.md."},
	{RequestSent, slog.LevelInfo, "request sent to a target", ""},
	{RequestMoved, slog.LevelInfo, "target stalled; another one is to take the request over", "If frequent for one host, check the host named."},
	{AttemptBroken, slog.LevelInfo, "connection to a target ended before the answer was complete", "If one content stands in several of these, see docs/OPERATIONS.md."},
	{FingerprintCondemned, slog.LevelWarn, "requests with a fingerprint are refused: hosts crashed as they began to answer them", "Find out who sends them and why they crash hosts; see docs/OPERATIONS.md."},
	{FingerprintReleased, slog.LevelInfo, "requests with a fingerprint are no longer refused", ""},
	{RequestTried, slog.LevelInfo, "request sent to one target to find out whether it is sound", ""},
	{FingerprintProvisional, slog.LevelWarn, "requests with a fingerprint are sent to one host at a time: hosts crashed under them, so close together that they may have been lost together", "If RS2009 follows, find out who sends them; else nothing. See docs/OPERATIONS.md."},
	{SuspicionCleared, slog.LevelInfo, "answer to a request cleared its fingerprints of suspicion", ""},
	{RequestHandedOver, slog.LevelInfo, "request handed over to another daemon: this one reaches no target", "See RS8006 of this daemon."},
	{HandoverRefused, slog.LevelInfo, "another daemon did not take a request", ""},
	{RequestAborted, slog.LevelWarn, "connection closed without a complete answer to a request", "See the reason; a stream that has begun and can't go on is closed so. Report any other."},
	{RefusedForMemory, slog.LevelWarn, "request refused: bodies or answers of other requests hold the memory that there is for them", "If frequent, give the gateway more memory (memoryMiB) or lower the limit for bodies in the configuration."},
	{EstimateWrong, slog.LevelInfo, "first event of a request came much later than estimated", "If frequent for one host, check the host named."},
	{PressureChanged, slog.LevelInfo, "a part of the requests for a model yields to others, or no longer", "If it lasts, add hosts; see docs/OPERATIONS.md."},
	{RetryBudgetSpent, slog.LevelInfo, "request not sent again: the retry budget is spent", "If frequent, check the hosts of the service named: many requests fail there."},
	{TakeoverEnded, slog.LevelInfo, "one of the two attempts at a request whose target stalled goes on alone", ""},
	{ClaimOwnerUnresponsive, slog.LevelInfo, "daemon asked to write a claim did not answer; claim is written here", ""},
	{ClaimUnreachable, slog.LevelWarn, "call refused: its claim could not be written", "Check the platform; callers retry with the same key."},
	{GroupFormed, slog.LevelInfo, "group assigned to hosts", ""},
	{GroupBroken, slog.LevelWarn, "group out of service: a member is missing", "If it persists, see docs/operations/group-stuck.md."},
	{GroupWaiting, slog.LevelInfo, "group waits for a member to return", ""},
	{GroupRepaired, slog.LevelInfo, "group members replaced", ""},
	{GroupDraining, slog.LevelInfo, "group gets no new requests and finishes those in flight", ""},
	{GroupDissolved, slog.LevelInfo, "group dissolved", ""},
	{GroupOpened, slog.LevelInfo, "head of a group accepts requests", ""},
	{GroupClosing, slog.LevelInfo, "head of a group ordered to stop accepting requests", "If frequent for one host, check the host named in the reason."},
	{ModelStaging, slog.LevelInfo, "weights being loaded onto a host that is in no group", ""},
	{DomainAcquired, slog.LevelInfo, "control of a fabric domain acquired", ""},
	{DomainReleased, slog.LevelInfo, "control of a fabric domain released", ""},
	{DomainLost, slog.LevelWarn, "control of a fabric domain lost to another daemon", "If frequent, check the daemon named: it was paused or cut off."},
	{DomainUnreachable, slog.LevelError, "no host of a fabric domain answers; its groups stay unchanged", "Check the domain's switch and power."},
	{DomainLacksHosts, slog.LevelWarn, "fabric domain has too few hosts for its groups", "Add hosts or lower the groups of the models named; see docs/operations/group-stuck.md."},
	{HostRegistered, slog.LevelInfo, "host registered", ""},
	{HostDeregistered, slog.LevelInfo, "host no longer registered", ""},
	{HostRestarted, slog.LevelInfo, "host registered again after a restart", ""},
	{HostDraining, slog.LevelInfo, "host is leaving and gets no new work", ""},
	{HostLeaving, slog.LevelInfo, "host stated in an answer that it is leaving and gets no new work", ""},
	{HostQuiet, slog.LevelInfo, "host turned a request away and asked for no others for a time", "If frequent, the host named is overloaded."},
	{HostQuietInvalid, slog.LevelWarn, "host asked for no requests for a time that can't be read; ignored", "Correct the Retry-After of the host's service."},
	{HostEntryOutdated, slog.LevelInfo, "entry of a host is older than what is known of it; ignored", "Nothing, if the platform has just come back from an older copy."},
	{HostLimited, slog.LevelWarn, "host named a limit for the requests that it takes", "Check the host named: it is in need. If all hosts of a service name one, add hosts."},
	{HostLimitEnded, slog.LevelInfo, "host no longer names a limit", ""},
	{HostLimitInvalid, slog.LevelWarn, "host named a limit that can't be read; ignored", "Correct the Server-Limit of the host's service."},
	{HostsMoving, slog.LevelInfo, "groups are given up so that their hosts serve another model", "If it goes back and forth, see docs/operations/models.md."},
	{DemandKnown, slog.LevelInfo, "the work offered for each model is known, or no longer", ""},
	{GroupAdopted, slog.LevelInfo, "group that another daemon has formed, or that this one had given up, is known from its hosts", ""},
	{GroupResumed, slog.LevelInfo, "group goes on serving: its hosts can be reached again", ""},
	{GroupHidden, slog.LevelWarn, "no host of a group answers or is registered; its hosts stay in it", "If the hosts live, check the network between them, this daemon and the platform."},
	{DataCentresOut, slog.LevelInfo, "data centres that get no work", ""},
	{HostFlapping, slog.LevelWarn, "host repeatedly failed and returned; excluded from groups for a while", "Check the host named."},
	{HostStraggling, slog.LevelWarn, "host joins its group too slowly and is replaced", "Check the host named."},
	{HostRetired, slog.LevelInfo, "engine ordered to end so that its host can change groups", ""},
	{OrderRefused, slog.LevelWarn, "order refused: the engine has seen a higher fencing token", "If frequent, look for a daemon that is paused repeatedly."},
	{OrderUnanswered, slog.LevelWarn, "order not answered; the host's next report decides", ""},
	{HostUnresponsive, slog.LevelWarn, "engine did not answer a report request", "Check the host named, or the network between it and this daemon."},
	{OrderAnswered, slog.LevelInfo, "engine answered an order", ""},
	{HostSuspected, slog.LevelInfo, "requests at an engine stalled; the lease holder is notified", ""},
	{ControlAcquired, slog.LevelInfo, "control of the groups acquired", ""},
	{ControlLost, slog.LevelWarn, "control of the groups lost", "If frequent, check this daemon's path to the platform."},
	{ControlReleased, slog.LevelInfo, "control of the groups released", ""},
	{DaemonMarkedLeaving, slog.LevelWarn, "unresponsive daemon marked as leaving in the platform", "If the daemon is alive, check its links."},
	{DaemonRemoved, slog.LevelInfo, "registration of a dead daemon removed from the platform", ""},
	{ConfigApplied, slog.LevelInfo, "configuration in force", ""},
	{ConfigRefused, slog.LevelError, "object in the platform breaks a rule and is not put in force", "Correct it with rhubarbctl apply."},
	{ConfigOlder, slog.LevelWarn, "older configuration than the one in force; ignored", "Write the newest configuration again if the platform has lost it."},
	{PeerLinked, slog.LevelInfo, "link to another daemon open", ""},
	{PeerLost, slog.LevelWarn, "link to another daemon lost", "If it persists, check the daemon named and the network between."},
	{PeerUnresponsive, slog.LevelWarn, "no heartbeat from a daemon within the silence limit", "If it persists, check the daemon named and the network between."},
	{PeerRefused, slog.LevelError, "link to another daemon refused", "Give both daemons the same cluster name, shared key and release."},
	{DaemonPaused, slog.LevelWarn, "daemon was paused; it starts no work before a peer or the platform has answered", "If it persists, check the daemon's host: it is overloaded, or the process was stopped; see docs/operations/daemon-isolated.md."},
	{DaemonIsolated, slog.LevelError, "daemon cut off: neither the platform nor enough peers are reachable; new requests are refused", "Check the network between this daemon, the platform and the daemons named; see docs/operations/daemon-isolated.md."},
	{DaemonRejoined, slog.LevelInfo, "the platform or enough peers are reachable again", ""},
	{PlatformUnreachable, slog.LevelWarn, "platform unreachable; serving with the known configuration", "Check the platform's object API; see docs/operations/platform-outage.md."},
	{PlatformReachable, slog.LevelInfo, "platform reachable again", ""},
	{ChangesRelayed, slog.LevelInfo, "host changes are received through another daemon", ""},
	{ChangeRelayLost, slog.LevelInfo, "another daemon stopped relaying host changes; the platform is watched directly", "If frequent, check the daemon named."},
	{HostsUnreachable, slog.LevelWarn, "no host of a service accepts connections from this daemon", "Compare with the other daemons: if they reach the hosts, check the network between this daemon and them; else the hosts."},
	{HostsReachable, slog.LevelInfo, "hosts of a service accept connections again", ""},
	{EntrySkipped, slog.LevelWarn, "entry of the store skipped: it can't be used", "Find out who wrote the entry named; one that has no name can't be read at all. The daemon goes on with all others."},
	{StoreRestored, slog.LevelWarn, "platform came back from an older copy of its data; what is in force stays until something newer is written", "Check that the operators' latest writes are there; see docs/operations/platform-outage.md."},
}
