package site

import "time"

// Engine is the published behaviour of a service's model engines. Its times hold for a model
// with time factor 1. An engine runs its requests as a batch: each step makes one token for every
// request.
type Engine struct {
	// Slots is the number of requests that run at once, in one batch.
	Slots int
	// Step is the time of a step of an empty batch.
	Step time.Duration
	// StepPerRequest is what each request of the batch adds to the time of a step.
	StepPerRequest time.Duration
	// StepPerThousand is what each thousand tokens of context in the batch add to it.
	StepPerThousand time.Duration
	// StepsPerPass is the number of steps between two events of a stream.
	StepsPerPass int
	// ReadPerSecond is the number of prompt tokens read per second.
	ReadPerSecond float64
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a prompt and of an answer.
	UsualPrompt, UsualAnswer float64
	// ReportLag is by how much a report lags behind the engine's state.
	ReportLag time.Duration
	// Opening is the time from an order to open a group until it takes the first request.
	Opening time.Duration
	// LoadsPerSecond bounds the rate at which loads from the weight store begin, over all
	// hosts.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of concurrent loads above which they slow each other down.
	LoadsAtOnce int
	Models      []Model
}

// Model is one model that groups of engines serve.
type Model struct {
	Name string
	// Size is the number of hosts of a group.
	Size int
	// Share is the model's fraction of the work, and of the hosts that serve it.
	Share float64
	// Pace multiplies the time of a step and the time to read a prompt.
	Pace float64
	// Load is the time to load the weights from the weight store.
	Load time.Duration
	// Warm is the time to load the weights from the host itself.
	Warm time.Duration
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
	context := time.Duration(float64(e.StepPerThousand) * float64(batch) * (e.UsualPrompt + e.UsualAnswer/2) / 1000)
	step := e.Step + time.Duration(batch)*e.StepPerRequest + context
	return time.Duration(float64(step) * float64(max(e.StepsPerPass, 1)) * m.Pace)
}

// PromptTime estimates the time to read a prompt of so many tokens.
func (e *Engine) PromptTime(m *Model, tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * m.Pace * float64(time.Second))
}

// RequestTime estimates how long a request of mean size runs in a batch of so many requests.
func (e *Engine) RequestTime(m *Model, batch int) time.Duration {
	passes := e.UsualAnswer/float64(max(e.StepsPerPass, 1)) + 1
	return time.Duration(passes*float64(e.EventInterval(m, batch))) + e.PromptTime(m, int(e.UsualPrompt))
}
