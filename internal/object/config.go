package object

import "strings"

// Contract is what one customer may do. Its name is the customer's.
type Contract struct {
	// KeyHashes are the hex SHA-256 hashes of the customer's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	// Models and Services name what the customer may reach; "*" means all.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Priority ranks the customer's work, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Weight is the customer's share among customers of equal priority; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// RequestsPerSecond and TokensPerSecond bound the rate; 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	// RequestsPerMonth and TokensPerMonth bound a calendar month (UTC); 0 means no bound.
	RequestsPerMonth int64 `json:"requestsPerMonth,omitempty"`
	TokensPerMonth   int64 `json:"tokensPerMonth,omitempty"`
	// Concurrency bounds requests in flight over all daemons; 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// DeadlineMillis is the default deadline of a request; 0 means 30,000.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// OutageRule says what happens when the slice in hand is spent and the
	// platform can't be reached.
	OutageRule OutageRule `json:"outageRule,omitempty"`
	// Objectives are the service levels promised to the customer.
	Objectives Objectives `json:"objectives,omitzero"`
}

// OutageRule says how a customer's work is admitted in an outage of the platform
// once the reserved slice is spent.
type OutageRule string

// The outage rules. The empty rule is OutageRefuse.
const (
	OutageRefuse OutageRule = "refuse"
	OutageServe  OutageRule = "serve"
)

// Objectives are service-level objectives; a zero field is not promised.
type Objectives struct {
	FirstTokenMillis int64   `json:"firstTokenMillis,omitempty"`
	TokenGapMillis   int64   `json:"tokenGapMillis,omitempty"`
	Share            float64 `json:"share,omitempty"`      // of requests within both, 0 to 1
	WholeShare       float64 `json:"wholeShare,omitempty"` // of requests answered whole, 0 to 1
}

// Model is a language model served by groups of hosts. Its name is the one that
// callers use.
type Model struct {
	// Members is the number of hosts in one group, 1 to 64.
	Members int `json:"members"`
	// Groups is the number of groups wanted over all domains.
	Groups int `json:"groups"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights"`
	// ChecksFencing says that this model's engines refuse orders with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// ColdLimit is the number of requests in flight, over all daemons, that a
	// cold group bears; WarmLimit the number once warm; WarmAfter the number of
	// whole answers that make a cold group warm.
	ColdLimit int `json:"coldLimit"`
	WarmLimit int `json:"warmLimit"`
	WarmAfter int `json:"warmAfter"`
	// SpareHosts is the number of hosts kept free in each domain that holds groups.
	SpareHosts int `json:"spareHosts,omitempty"`
}

// Service is a plain service beside the models.
type Service struct {
	Targets []ServiceTarget `json:"targets"`
	// Idempotent lists the calls that may run more than once.
	Idempotent []Route `json:"idempotent,omitempty"`
	ColdLimit  int     `json:"coldLimit"`
	WarmLimit  int     `json:"warmLimit"`
	WarmAfter  int     `json:"warmAfter"`
}

// ServiceTarget is one server of a plain service.
type ServiceTarget struct {
	Host       string `json:"host"`
	Address    string `json:"address"` // host:port
	DataCentre string `json:"dataCentre"`
}

// Route is a method and a path prefix; an empty method means every method.
type Route struct {
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix"`
}

// DataCentre says whether a data centre is in service.
type DataCentre struct {
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
	Region string `json:"region,omitempty"`
	// RampSeconds spreads the return of load after the data centre comes in; 0 means 30.
	RampSeconds int `json:"rampSeconds,omitempty"`
}

// Host is an operator's word on one host. Absent means in service.
type Host struct {
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
	// ChecksFencing says, for this host alone, that its engine refuses orders
	// with an old fencing number.
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

// MayRepeat reports whether a call to the service may run more than once. GET and
// HEAD may unless the service lists its idempotent calls itself.
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

// Covers reports whether the contract covers a model.
func (c *Contract) Covers(model string) bool { return contains(c.Models, model) }

// CoversService reports whether the contract covers a plain service.
func (c *Contract) CoversService(service string) bool { return contains(c.Services, service) }

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name || n == "*" {
			return true
		}
	}
	return false
}
