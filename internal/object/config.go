package object

import "strings"

// Contract states what one customer may do. Its name is the customer's name.
type Contract struct {
	// KeyHashes are the hex SHA-256 hashes of the customer's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	// Models and Services list the names that the customer may use; "*" means all.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Priority ranks the customer's requests, from 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Weight is the customer's relative share of the capacity among customers of equal priority;
	// 0 means 1.
	Weight int `json:"weight,omitempty"`
	// RequestsPerSecond and TokensPerSecond limit the rate over all daemons; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	// RequestsPerMonth and TokensPerMonth are the allowance for a calendar month (UTC); 0 means
	// no limit.
	RequestsPerMonth int64 `json:"requestsPerMonth,omitempty"`
	TokensPerMonth   int64 `json:"tokensPerMonth,omitempty"`
	// Concurrency limits the requests in flight over all daemons; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// DeadlineMillis is the default time for a request from its arrival to its complete answer;
	// 0 means 30,000.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// OutageRule applies when the platform is unreachable and a daemon has used up its slice of
	// the monthly allowance.
	OutageRule OutageRule `json:"outageRule,omitempty"`
	// Objectives are the service levels promised to the customer.
	Objectives Objectives `json:"objectives,omitzero"`
}

// OutageRule states whether a customer's requests are admitted while the platform is unreachable
// and the daemon's slice of the monthly allowance is used up.
type OutageRule string

// The outage rules. The empty rule means OutageRefuse.
const (
	OutageRefuse OutageRule = "refuse"
	OutageServe  OutageRule = "serve"
)

// Objectives are service-level objectives. A zero field means no objective.
type Objectives struct {
	FirstTokenMillis int64   `json:"firstTokenMillis,omitempty"` // time to the first token
	TokenGapMillis   int64   `json:"tokenGapMillis,omitempty"`   // longest time between two tokens
	Share            float64 `json:"share,omitempty"`            // of requests that meet both, 0 to 1
	WholeShare       float64 `json:"wholeShare,omitempty"`       // of requests answered completely, 0 to 1
}

// Model is a language model served by groups of hosts. Callers select it by its name.
type Model struct {
	// Members is the number of hosts in one group, 1 to 64.
	Members int `json:"members"`
	// Groups is the desired number of groups over all fabric domains.
	Groups int `json:"groups"`
	// Weights is the name of the model's weights in the weight store.
	Weights string `json:"weights"`
	// ChecksFencing is set if this model's engines refuse orders with an outdated fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// ColdLimit is the maximum number of requests in flight, over all daemons, at a cold group,
	// and WarmLimit that at a warm one. WarmAfter is the number of complete answers after which
	// a cold group is warm.
	ColdLimit int `json:"coldLimit"`
	WarmLimit int `json:"warmLimit"`
	WarmAfter int `json:"warmAfter"`
	// SpareHosts is the number of hosts kept free in each fabric domain that has groups.
	SpareHosts int `json:"spareHosts,omitempty"`
}

// Service is a plain service: one that is not a language model.
type Service struct {
	Targets []ServiceTarget `json:"targets"`
	// Idempotent lists the calls that may run more than once. If it is empty, GET and HEAD may.
	Idempotent []Route `json:"idempotent,omitempty"`
	// ColdLimit, WarmLimit and WarmAfter apply to each target, as for Model.
	ColdLimit int `json:"coldLimit"`
	WarmLimit int `json:"warmLimit"`
	WarmAfter int `json:"warmAfter"`
}

// ServiceTarget is one server of a plain service.
type ServiceTarget struct {
	Host       string `json:"host"`
	Address    string `json:"address"` // host:port
	DataCentre string `json:"dataCentre"`
}

// Route matches calls by method and path prefix. An empty method matches every method.
type Route struct {
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix"`
}

// DataCentre states whether a data centre is in service. A data centre without an object is.
type DataCentre struct {
	Out    bool   `json:"out"`              // out of service: its targets get no requests
	Reason string `json:"reason,omitempty"` // why, for operators
	Region string `json:"region,omitempty"`
	// RampSeconds is the time in which the load rises to its full value after the data centre
	// has returned to service; 0 means 30.
	RampSeconds int `json:"rampSeconds,omitempty"`
}

// Host states whether one host is in service. A host without an object is.
type Host struct {
	Out    bool   `json:"out"`              // out of service: its targets get no requests
	Reason string `json:"reason,omitempty"` // why, for operators
	// ChecksFencing is set if the engine of this host refuses orders with an outdated fencing
	// token, even if other engines of the model do not.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Kind returns KindContract.
func (*Contract) Kind() Kind { return KindContract }

// Kind returns KindModel.
func (*Model) Kind() Kind { return KindModel }

// Kind returns KindService.
func (*Service) Kind() Kind { return KindService }

// Kind returns KindDataCentre.
func (*DataCentre) Kind() Kind { return KindDataCentre }

// Kind returns KindHost.
func (*Host) Kind() Kind { return KindHost }

// MayRepeat reports whether a call to the service may run more than once. If the service does not
// list its idempotent calls, GET and HEAD may.
func (s *Service) MayRepeat(method, path string) bool {
	if len(s.Idempotent) == 0 {
		return method == "GET" || method == "HEAD"
	}
	for _, r := range s.Idempotent {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return true
		}
	}
	return false
}

// Covers reports whether the customer may use a model.
func (c *Contract) Covers(model string) bool { return listsName(c.Models, model) }

// CoversService reports whether the customer may use a plain service.
func (c *Contract) CoversService(service string) bool { return listsName(c.Services, service) }

func listsName(names []string, name string) bool {
	for _, n := range names {
		if n == name || n == "*" {
			return true
		}
	}
	return false
}
