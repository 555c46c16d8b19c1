// Package config reads and checks the settings of a daemon: Settings for rhubarbswitchd run,
// Gateway for rhubarbswitchd gateway. Both are files of JSON with comments. Unknown fields,
// values without their unit, values out of bounds and contradictions between fields are
// refused before the daemon starts, with the place in the file and a remedy.
//
// The doc comment of each field of Settings ends with its default and bounds. The tool
// internal/tools/settingsdoc checks them against the code, and generates docs/settings.md
// and the document that rhubarbswitchd print-defaults prints from the comments.
package config

// Settings contains all settings of one daemon.
type Settings struct {
	// Cluster is the name of the cluster. Daemons link only to daemons of the same
	// cluster. Lower-case letters, digits, dots and dashes. Required.
	Cluster string `json:"cluster"`
	// Daemon is this daemon's name, unique in the cluster. A daemon that replaces
	// another may use the same name. Lower-case letters, digits, dots and dashes.
	// Required.
	Daemon string `json:"daemon"`
	// DataCentre is the name of the data centre in which this daemon runs, as in
	// datacentre objects. Requests are routed within it if that costs least.
	// Required.
	DataCentre string `json:"dataCentre"`
	// ShutdownTimeout is how long a graceful stop waits for requests in flight
	// before it ends them. Set it above the longest deadline of any contract.
	// Default: "10m". Bounds: 1s to 24h.
	ShutdownTimeout Duration `json:"shutdownTimeout" bounds:"1s..24h"`
	// Callers is the interface that customers call.
	Callers Callers `json:"callers"`
	// Operators is the interface that rhubarbctl calls; it also serves health,
	// readiness and metrics.
	Operators Operators `json:"operators"`
	// Peers is the link to the other daemons.
	Peers Peers `json:"peers"`
	// Platform is the platform's object API and host list.
	Platform Platform `json:"platform"`
	// Targets bounds the connections to the hosts and services behind the daemon.
	Targets Targets `json:"targets"`
	// Lease is the lease that a daemon holds while it orders the hosts of a domain.
	Lease Lease `json:"lease"`
	// Retry bounds how often a request is sent again.
	Retry Retry `json:"retry"`
	// Queue bounds how many requests wait for a target.
	Queue Queue `json:"queue"`
	// Claims is the record of idempotency keys.
	Claims Claims `json:"claims"`
	// Poison is the quarantine of requests that crash targets.
	Poison Poison `json:"poison"`
	// Log is the daemon's log.
	Log Log `json:"log"`
	// Pprof enables Go profiles under /debug/pprof/ on the operators' interface. They
	// require an operator key.
	// Default: false.
	Pprof bool `json:"pprof"`
}

// TLS names the files of a certificate and its key. Both are read again when they change.
type TLS struct {
	// Cert is the path of the certificate chain in PEM. Empty means no TLS.
	// Default: "".
	Cert string `json:"cert"`
	// Key is the path of the private key in PEM. Give cert and key together, or neither.
	// Default: "".
	Key string `json:"key"`
	// CA is the path of the certificate authorities, in PEM, that must have issued
	// the certificate of the other end on connections that this daemon opens. Empty
	// means the authorities of the system.
	// Default: "".
	CA string `json:"ca"`
}

// Enabled reports whether TLS is on.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Callers is the interface that customers call.
type Callers struct {
	// Listen is the address, host:port, on which callers are served. Required.
	Listen string `json:"listen"`
	// TLS is the certificate presented to callers.
	TLS TLS `json:"tls"`
	// MaxBodyBytes is the largest body of a request in bytes. A larger one is
	// refused with status 413 before anything runs.
	// Default: 4194304. Bounds: 1024 to 67108864.
	MaxBodyBytes int64 `json:"maxBodyBytes" bounds:"1024..67108864"`
	// MaxHeaderBytes is the largest header of a request in bytes. A larger one is
	// refused with status 431.
	// Default: 32768. Bounds: 4096 to 1048576.
	MaxHeaderBytes int `json:"maxHeaderBytes" bounds:"4096..1048576"`
	// ReadHeaderTimeout is the longest time a caller may take to send a header. Then
	// the connection is closed.
	// Default: "5s". Bounds: 100ms to 1m.
	ReadHeaderTimeout Duration `json:"readHeaderTimeout" bounds:"100ms..1m"`
	// ReadBodyTimeout is the longest time a caller may take to send a request with its
	// body. A slower one is refused with status 400 before anything runs.
	// Default: "30s". Bounds: 100ms to 10m.
	ReadBodyTimeout Duration `json:"readBodyTimeout" bounds:"100ms..10m"`
	// IdleTimeout is how long a connection stays open between two requests.
	// Default: "2m". Bounds: 1s to 1h.
	IdleTimeout Duration `json:"idleTimeout" bounds:"1s..1h"`
	// MaxConnections is the largest number of open connections of callers. Further
	// ones wait in the listen queue of the operating system until one is closed.
	// Default: 8192. Bounds: 1 to 1000000.
	MaxConnections int `json:"maxConnections" bounds:"1..1000000"`
}

// Operators is the interface that rhubarbctl calls.
type Operators struct {
	// Listen is the address, host:port, on which operators are served. Required.
	Listen string `json:"listen"`
	// Advertise is the address, host:port, under which rhubarbctl and other daemons
	// reach this interface. Empty means the same as listen.
	// Default: "".
	Advertise string `json:"advertise"`
	// TLS is the certificate presented to operators.
	TLS TLS `json:"tls"`
	// KeyHashes are the SHA-256 hashes, 64 hex digits each, of the operator keys that
	// are accepted. Give two while a key is replaced.
	// Default: [].
	KeyHashes []string `json:"keyHashes"`
	// Key is the file or environment variable with one operator key, for use with a
	// secret store. It is accepted in addition to those in keyHashes. Without any key
	// the interface must listen on a loopback address, and requires none.
	// Default: {}.
	Key Secret `json:"key"`
}

// Peers is the link to the other daemons.
type Peers struct {
	// Listen is the address, host:port, on which other daemons open links. Required.
	Listen string `json:"listen"`
	// Advertise is the address, host:port, under which other daemons reach this one.
	// Empty means the same as listen, which must then contain a host that others can
	// dial.
	// Default: "".
	Advertise string `json:"advertise"`
	// Key is the file or environment variable with the key that all daemons of the
	// cluster share. The two ends of a link authenticate each other with it. At least
	// 16 bytes. Required.
	Key Secret `json:"key"`
	// TLS is the certificate presented to other daemons.
	TLS TLS `json:"tls"`
	// Seeds are addresses of daemons to which this daemon opens links at its start,
	// so that it finds others even if the platform can't be reached. Daemons that
	// are registered in the platform need not be listed.
	// Default: [].
	Seeds []string `json:"seeds"`
	// Heartbeat is the interval between two heartbeats on a link.
	// Default: "500ms". Bounds: 50ms to 10s.
	Heartbeat Duration `json:"heartbeat" bounds:"50ms..10s"`
	// Silence is the longest time without any message on a link, after which it is
	// closed and opened again. At least twice heartbeat.
	// Default: "2s". Bounds: 200ms to 1m.
	Silence Duration `json:"silence" bounds:"200ms..1m"`
}

// Platform is the platform's object API and host list.
type Platform struct {
	// Address is the base URL, such as "http://10.0.0.1:7000". Required.
	Address string `json:"address"`
	// CallTimeout is the longest time one read or write may take. If a write has no
	// answer by then, the object is read to learn whether the write took effect.
	// Default: "2s". Bounds: 50ms to 1m.
	CallTimeout Duration `json:"callTimeout" bounds:"50ms..1m"`
	// WatchWait is how long the platform waits for a change before it answers a watch
	// call. If there is no answer 2 seconds after that, the connection is closed,
	// since it may be dead.
	// Default: "2s". Bounds: 100ms to 5m.
	WatchWait Duration `json:"watchWait" bounds:"100ms..5m"`
	// HostListInterval is the interval between two reads of the host list.
	// Default: "2s". Bounds: 100ms to 5m.
	HostListInterval Duration `json:"hostListInterval" bounds:"100ms..5m"`
}

// Targets bounds the connections to the hosts and services behind the daemon.
type Targets struct {
	// ProbeTimeout is the longest time a probe may take. Then it has failed.
	// Default: "1s". Bounds: 50ms to 30s.
	ProbeTimeout Duration `json:"probeTimeout" bounds:"50ms..30s"`
	// DialTimeout is the longest time to open a connection to a target.
	// Default: "1s". Bounds: 10ms to 30s.
	DialTimeout Duration `json:"dialTimeout" bounds:"10ms..30s"`
	// Silence is the longest time without data on a stream. Then the attempt is ended,
	// and its connection and every idle one to the same target are closed, since they
	// may be dead too.
	// Default: "10s". Bounds: 100ms to 10m.
	Silence Duration `json:"silence" bounds:"100ms..10m"`
	// IdleConnections is the number of idle connections kept open to each target.
	// Default: 16. Bounds: 0 to 1024.
	IdleConnections int `json:"idleConnections" bounds:"0..1024"`
}

// Lease is the lease that a daemon holds while it orders the hosts of a domain.
type Lease struct {
	// Duration is how long a daemon may order a domain's hosts after it sent a
	// renewal. It renews the lease at intervals of a third of this. Other daemons
	// wait longer than this before they take over. More than platform.callTimeout.
	// Default: "10s". Bounds: 500ms to 10m.
	Duration Duration `json:"duration" bounds:"500ms..10m"`
}

// Retry bounds how often a request is sent again.
type Retry struct {
	// BudgetShare is the retry budget as a share of recent requests. Once it is spent,
	// a failed attempt is not repeated, and the caller gets the error at once.
	// Default: 0.1. Bounds: 0 to 1.
	BudgetShare float64 `json:"budgetShare" bounds:"0..1"`
	// MaxAttempts is the largest number of attempts of one request, the first
	// included.
	// Default: 3. Bounds: 1 to 10.
	MaxAttempts int `json:"maxAttempts" bounds:"1..10"`
}

// Queue bounds how many requests wait for a target.
type Queue struct {
	// MaxRequests is the largest number of requests that wait in this daemon. Further
	// ones are refused at once with status 429 or 503.
	// Default: 1024. Bounds: 0 to 100000.
	MaxRequests int `json:"maxRequests" bounds:"0..100000"`
}

// Claims is the record of idempotency keys.
type Claims struct {
	// Retention is how long the outcome of a key is stored. A key created longer ago
	// is refused. At least twice window.
	// Default: "24h". Bounds: 1m to 168h.
	Retention Duration `json:"retention" bounds:"1m..168h"`
	// Window is the length of the time span whose keys, by their time of creation,
	// share one record per shard.
	// Default: "500ms". Bounds: 100ms to 24h.
	Window Duration `json:"window" bounds:"100ms..24h"`
	// Shards is the number of records per window. All daemons of a cluster must use
	// the same number.
	// Default: 8. Bounds: 1 to 4096.
	Shards int `json:"shards" bounds:"1..4096"`
	// MaxRecordedBytes is the largest answer in bytes that is stored with its key. A
	// caller who sends the key again gets the stored answer.
	// Default: 1024. Bounds: 0 to 65536.
	MaxRecordedBytes int `json:"maxRecordedBytes" bounds:"0..65536"`
}

// Poison is the quarantine of requests that crash targets.
type Poison struct {
	// Targets is the number of distinct targets that must crash while they run a
	// request before the same request is refused.
	// Default: 2. Bounds: 1 to 10.
	Targets int `json:"targets" bounds:"1..10"`
	// Expiry is how long a crash counts, and so how long such a request is refused.
	// Default: "10m". Bounds: 1s to 24h.
	Expiry Duration `json:"expiry" bounds:"1s..24h"`
}

// Log configures the daemon's log. rhubarbswitchd run writes it to standard error,
// rhubarbswitchd gateway to standard output.
type Log struct {
	// Format is "json" or "text".
	// Default: "json".
	Format string `json:"format"`
	// Level is the lowest level written: "debug", "info", "warn" or "error".
	// Default: "info".
	Level string `json:"level"`
}
