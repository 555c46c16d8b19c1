// Package config reads the daemon's settings: JSON with comments, in which every
// unknown field, wrong unit and contradiction is refused before anything starts.
//
// The doc comment of each field ends with its default and bounds. The tool
// internal/tools/settingsdoc turns these comments into docs/settings.md and into
// the document that rhubarbswitchd print-defaults shows.
package config

// Settings are all settings of one daemon.
type Settings struct {
	// Cluster is the name of the cluster. Daemons link only to daemons of the same
	// cluster. Lower-case letters, digits, dots and dashes. Required.
	Cluster string `json:"cluster"`
	// Daemon is this daemon's name, unique in the cluster. A host that replaces
	// another may take its name again. Lower-case letters, digits, dots and dashes.
	// Required.
	Daemon string `json:"daemon"`
	// DataCentre is the data centre in which this daemon runs, as operators name it
	// in datacentre objects. Requests are kept in it where that costs least.
	// Required.
	DataCentre string `json:"dataCentre"`
	// ShutdownTimeout is how long a graceful stop waits for requests in flight
	// before it cuts them off. Set it above the longest deadline of any contract.
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
	// Targets is how hosts and services behind the daemon are watched.
	Targets Targets `json:"targets"`
	// Lease is the proof of life of a daemon that orders hosts.
	Lease Lease `json:"lease"`
	// Retry bounds how often a request is sent again.
	Retry Retry `json:"retry"`
	// Queue bounds how many requests wait for a target.
	Queue Queue `json:"queue"`
	// Claims is the record of idempotency keys.
	Claims Claims `json:"claims"`
	// Poison is the quarantine of requests that bring targets down.
	Poison Poison `json:"poison"`
	// Log is the daemon's log.
	Log Log `json:"log"`
	// Pprof serves Go profiles under /debug/pprof/ on the operators' interface to
	// holders of an operator key.
	// Default: false.
	Pprof bool `json:"pprof"`
}

// TLS names a certificate and its key. Both files are read again when they change.
type TLS struct {
	// Cert is the path of the certificate chain in PEM. Empty means no TLS.
	// Default: "".
	Cert string `json:"cert"`
	// Key is the path of the private key in PEM. Given together with cert.
	// Default: "".
	Key string `json:"key"`
	// CA is the path of the authorities, in PEM, that the other end's certificate
	// must come from where this interface dials out. Empty means those of the
	// system.
	// Default: "".
	CA string `json:"ca"`
}

// Enabled reports whether TLS is on.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Callers is the interface that customers call.
type Callers struct {
	// Listen is the address, host:port, on which callers are served. Required.
	Listen string `json:"listen"`
	// TLS is the certificate shown to callers.
	TLS TLS `json:"tls"`
	// MaxBodyBytes is the largest body of a request in bytes. A larger one is
	// refused with status 413 before anything runs.
	// Default: 4194304. Bounds: 1024 to 67108864.
	MaxBodyBytes int64 `json:"maxBodyBytes" bounds:"1024..67108864"`
	// MaxHeaderBytes is the largest header of a request in bytes. A larger one is
	// refused with status 431.
	// Default: 32768. Bounds: 4096 to 1048576.
	MaxHeaderBytes int `json:"maxHeaderBytes" bounds:"4096..1048576"`
	// ReadHeaderTimeout is how long a caller may take to send a header. A slower
	// connection is closed.
	// Default: "5s". Bounds: 100ms to 1m.
	ReadHeaderTimeout Duration `json:"readHeaderTimeout" bounds:"100ms..1m"`
	// ReadBodyTimeout is how long a caller may take to send a body. A slower one is
	// refused with status 408 before anything runs.
	// Default: "30s". Bounds: 100ms to 10m.
	ReadBodyTimeout Duration `json:"readBodyTimeout" bounds:"100ms..10m"`
	// IdleTimeout is how long a connection may stay open between two requests.
	// Default: "2m". Bounds: 1s to 1h.
	IdleTimeout Duration `json:"idleTimeout" bounds:"1s..1h"`
	// MaxConnections is the largest number of open connections of callers. More
	// wait in the listen queue of the operating system until one is closed.
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
	// TLS is the certificate shown to operators.
	TLS TLS `json:"tls"`
	// KeyHashes are the SHA-256 hashes, 64 hex digits each, of the keys that
	// operators may show. Give two while a key is replaced.
	// Default: [].
	KeyHashes []string `json:"keyHashes"`
	// Key is the place of one operator key, for those who keep the key itself in a
	// secret store. It counts beside keyHashes. Without any key the interface is
	// served on a loopback address only.
	// Default: {}.
	Key Secret `json:"key"`
}

// Peers is the link to the other daemons.
type Peers struct {
	// Listen is the address, host:port, on which links are taken. Required.
	Listen string `json:"listen"`
	// Advertise is the address, host:port, under which other daemons reach this one.
	// Empty means the same as listen, which then must name an IP address.
	// Default: "".
	Advertise string `json:"advertise"`
	// Key is the place of the key that all daemons of the cluster share; links prove
	// it to each other. At least 16 bytes. Required.
	Key Secret `json:"key"`
	// TLS is the certificate shown to other daemons.
	TLS TLS `json:"tls"`
	// Seeds are addresses of daemons that are tried at the start if the platform
	// can't be reached. Daemons found in the platform need not stand here.
	// Default: [].
	Seeds []string `json:"seeds"`
	// Heartbeat is the time between two heartbeats on a link.
	// Default: "500ms". Bounds: 50ms to 10s.
	Heartbeat Duration `json:"heartbeat" bounds:"50ms..10s"`
	// Silence is how long a link may bring nothing before it is closed and opened
	// anew. At least twice heartbeat.
	// Default: "2s". Bounds: 200ms to 1m.
	Silence Duration `json:"silence" bounds:"200ms..1m"`
}

// Platform is the platform's object API and host list.
type Platform struct {
	// Address is the base URL, such as "http://10.0.0.1:7000". Required.
	Address string `json:"address"`
	// CallTimeout is how long one read or write may take. A write without an answer
	// by then is read back.
	// Default: "2s". Bounds: 50ms to 1m.
	CallTimeout Duration `json:"callTimeout" bounds:"50ms..1m"`
	// WatchWait is how long one watch call waits for a change. Every call goes out
	// on a connection that has been heard lately, and silence beyond watchWait plus
	// callTimeout closes it.
	// Default: "2s". Bounds: 100ms to 5m.
	WatchWait Duration `json:"watchWait" bounds:"100ms..5m"`
	// HostListInterval is the time between two reads of the host list.
	// Default: "2s". Bounds: 100ms to 5m.
	HostListInterval Duration `json:"hostListInterval" bounds:"100ms..5m"`
}

// Targets is how hosts and services behind the daemon are watched.
type Targets struct {
	// ProbeTimeout is how long a probe may take.
	// Default: "1s". Bounds: 50ms to 30s.
	ProbeTimeout Duration `json:"probeTimeout" bounds:"50ms..30s"`
	// DialTimeout is how long opening a connection to a target may take.
	// Default: "1s". Bounds: 10ms to 30s.
	DialTimeout Duration `json:"dialTimeout" bounds:"10ms..30s"`
	// Silence is how long a stream may bring nothing before its connection, and
	// every pooled one to the same target, is probed and closed.
	// Default: "10s". Bounds: 100ms to 10m.
	Silence Duration `json:"silence" bounds:"100ms..10m"`
	// IdleConnections is the number of idle connections kept open to each target.
	// Default: 16. Bounds: 0 to 1024.
	IdleConnections int `json:"idleConnections" bounds:"0..1024"`
}

// Lease is the proof of life of a daemon that orders hosts.
type Lease struct {
	// Duration is how long a daemon may order a domain's hosts after it sent a
	// renewal. It renews at a third of this. Others wait longer than this before
	// they take over. More than platform.callTimeout.
	// Default: "10s". Bounds: 500ms to 10m.
	Duration Duration `json:"duration" bounds:"500ms..10m"`
}

// Retry bounds how often a request is sent again.
type Retry struct {
	// BudgetShare is the largest share of retries among recent requests. Beyond it
	// a failed attempt is answered at once.
	// Default: 0.1. Bounds: 0 to 1.
	BudgetShare float64 `json:"budgetShare" bounds:"0..1"`
	// MaxAttempts is the largest number of attempts of one request, the first
	// included.
	// Default: 3. Bounds: 1 to 10.
	MaxAttempts int `json:"maxAttempts" bounds:"1..10"`
}

// Queue bounds how many requests wait for a target.
type Queue struct {
	// MaxRequests is the largest number of requests that wait in this daemon. More
	// are refused at once with status 429 or 503.
	// Default: 1024. Bounds: 0 to 100000.
	MaxRequests int `json:"maxRequests" bounds:"0..100000"`
}

// Claims is the record of idempotency keys.
type Claims struct {
	// Retention is how long a key's outcome is kept. A key minted longer ago is
	// refused. At least twice window.
	// Default: "24h". Bounds: 1m to 168h.
	Retention Duration `json:"retention" bounds:"1m..168h"`
	// Window is the span of mint times that share one record per shard.
	// Default: "500ms". Bounds: 100ms to 24h.
	Window Duration `json:"window" bounds:"100ms..24h"`
	// Shards is the number of records per window. All daemons of a cluster must
	// agree on it.
	// Default: 8. Bounds: 1 to 4096.
	Shards int `json:"shards" bounds:"1..4096"`
	// MaxRecordedBytes is the largest answer in bytes that is kept with its key and
	// repeated to a caller who sends the key again.
	// Default: 1024. Bounds: 0 to 65536.
	MaxRecordedBytes int `json:"maxRecordedBytes" bounds:"0..65536"`
}

// Poison is the quarantine of requests that bring targets down.
type Poison struct {
	// Targets is the number of distinct targets that must die running a request
	// before the same request is refused.
	// Default: 2. Bounds: 1 to 10.
	Targets int `json:"targets" bounds:"1..10"`
	// Expiry is how long such a request is refused.
	// Default: "10m". Bounds: 1s to 24h.
	Expiry Duration `json:"expiry" bounds:"1s..24h"`
}

// Log is the daemon's log, written to standard error.
type Log struct {
	// Format is "json" or "text".
	// Default: "json".
	Format string `json:"format"`
	// Level is the lowest level written: "debug", "info", "warn" or "error".
	// Default: "info".
	Level string `json:"level"`
}
