package config

import "time"

// Default returns settings in which every optional field has its default. The required
// fields are empty.
func Default() *Settings {
	return &Settings{
		ShutdownTimeout: Duration(10 * time.Minute),
		Callers: Callers{
			MaxBodyBytes:      4 << 20,
			MaxHeaderBytes:    32 << 10,
			ReadHeaderTimeout: Duration(5 * time.Second),
			ReadBodyTimeout:   Duration(30 * time.Second),
			IdleTimeout:       Duration(2 * time.Minute),
			MaxConnections:    8192,
		},
		Operators: Operators{KeyHashes: []string{}},
		Peers: Peers{
			Seeds:     []string{},
			Heartbeat: Duration(500 * time.Millisecond),
			Silence:   Duration(2 * time.Second),
		},
		Platform: Platform{
			CallTimeout:      Duration(2 * time.Second),
			WatchWait:        Duration(2 * time.Second),
			HostListInterval: Duration(2 * time.Second),
		},
		Targets: Targets{
			ProbeTimeout:    Duration(time.Second),
			DialTimeout:     Duration(time.Second),
			Silence:         Duration(10 * time.Second),
			IdleConnections: 16,
		},
		Lease:  Lease{Duration: Duration(10 * time.Second)},
		Retry:  Retry{BudgetShare: 0.1, MaxAttempts: 3},
		Queue:  Queue{MaxRequests: 1024},
		Claims: Claims{Retention: Duration(24 * time.Hour), Window: Duration(500 * time.Millisecond), Shards: 8, MaxRecordedBytes: 1 << 10},
		Poison: Poison{Targets: 2, Expiry: Duration(10 * time.Minute)},
		Log:    Log{Format: "json", Level: "info"},
	}
}
