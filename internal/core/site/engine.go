package site

import "time"

// Engine is the published behaviour of a service's model engines. Its times hold for a model
// with time factor 1. An engine runs its requests as a batch: each step makes one token for every
// request.
type Engine struct {
	// Slots is the number of requests that run at once, in one batch.
	Slots int
	// StepTime is the time of a step of an empty batch.
	StepTime time.Duration
	// StepTimePerRequest is what each request of the batch adds to the time of a step.
	StepTimePerRequest time.Duration
	// StepTimePerThousandTokens is what each thousand tokens of context in the batch add to it.
	StepTimePerThousandTokens time.Duration
	// StepsPerEvent is the number of steps between two events of a stream.
	StepsPerEvent int
	// PromptTokensPerSecond is the number of prompt tokens read per second.
	PromptTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of a prompt and of an
	// answer.
	MeanPromptTokens, MeanAnswerTokens float64
	// ReportLag is by how much a report lags behind the engine's state.
	ReportLag time.Duration
	// OpenDelay is the time from an order to open a group until it takes the first request.
	OpenDelay time.Duration
	// MaxLoadsPerSecond bounds the rate at which loads from the weight store begin, over all
	// hosts.
	MaxLoadsPerSecond float64
	// MaxConcurrentLoads is the number of concurrent loads above which they slow each other down.
	MaxConcurrentLoads int
	Models             []Model
}

// Model is one model that groups of engines serve.
type Model struct {
	Name string
	// GroupSize is the number of hosts of a group.
	GroupSize int
	// Share is the model's fraction of the work, and of the hosts that serve it.
	Share float64
	// TimeFactor multiplies the time of a step and the time to read a prompt.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store.
	LoadTime time.Duration
	// WarmLoadTime is the time to load the weights from the host itself.
	WarmLoadTime time.Duration
}

// Model returns a model by name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// EventInterval estimates the time between two events of a stream in a batch of so many
// requests.
func (e *Engine) EventInterval(m *Model, batch int) time.Duration {
	context := time.Duration(float64(e.StepTimePerThousandTokens) * float64(batch) * (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000)
	step := e.StepTime + time.Duration(batch)*e.StepTimePerRequest + context
	return time.Duration(float64(step) * float64(max(e.StepsPerEvent, 1)) * m.TimeFactor)
}

// PromptTime estimates the time to read a prompt of so many tokens.
func (e *Engine) PromptTime(m *Model, tokens int) time.Duration {
	if e.PromptTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PromptTokensPerSecond * m.TimeFactor * float64(time.Second))
}

// RequestTime estimates how long a request of mean size runs in a batch of so many requests.
func (e *Engine) RequestTime(m *Model, batch int) time.Duration {
	return e.AnswerTime(m, e.MeanAnswerTokens, batch) + e.PromptTime(m, int(e.MeanPromptTokens))
}

// AnswerTime estimates how long the events of an answer of so many tokens take in a batch of so many requests.
func (e *Engine) AnswerTime(m *Model, tokens float64, batch int) time.Duration {
	events := tokens/float64(max(e.StepsPerEvent, 1)) + 1
	return time.Duration(events * float64(e.EventInterval(m, batch)))
}
