package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/target"
)

const (
	// bytesPerToken turns a prompt's size into an estimate of its tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the estimate where the caller gives no max_tokens.
	defaultMaxTokens = 256
	// prefixBytes is the part of a prompt that cache affinity looks at.
	prefixBytes = 1024
)

// generateBody is what the daemon reads of a completion request; the rest goes to
// the engine as it came.
type generateBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func (b *generateBody) prompt() []byte {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

func (b *generateBody) maxTokens() int {
	if n := max(b.MaxTokens, b.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

// generate serves chat and text completions.
func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	in, ok := h.take(w, r)
	if !ok {
		return
	}
	body, upstream, err := parseGenerate(in.body)
	if err != nil {
		writeError(w, in.id, refusal(http.StatusBadRequest, step.CodeBadRequest, err.Error()))
		return
	}
	prompt := body.prompt()
	req := step.Request{
		ID: in.id, Customer: in.customer, Model: body.Model,
		Method: r.Method, Path: r.URL.Path,
		Fingerprint:  xxhash.Sum64(in.body),
		Prefix:       xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]),
		PromptTokens: len(prompt)/bytesPerToken + 1,
		MaxTokens:    body.maxTokens(),
		Stream:       body.Stream, Timeout: in.timeout,
	}
	g := &generation{
		h: h, w: w, flush: http.NewResponseController(w), id: in.id, req: req, body: upstream,
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
	}
	h.exchange(r, req, g)
}

// readBody reads a bounded body, or answers 413 or 400.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, id step.RequestID) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	if err == nil {
		return body, true
	}
	a := refusal(http.StatusBadRequest, step.CodeBadRequest, "the body did not arrive whole: send it again")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a = refusal(http.StatusRequestEntityTooLarge, step.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes: shorten it", tooLarge.Limit))
	}
	refuse(w, r, id, a)
	return nil, false
}

// parseGenerate checks a body and returns it with the one for the engine, which
// always streams: a stream shows that it lives and can be resumed.
func parseGenerate(raw []byte) (generateBody, []byte, error) {
	var b generateBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return b, nil, errors.Errorf("the body must be a JSON object as OpenAI's clients send it: %v", err)
	}
	if b.Model == "" {
		return b, nil, errors.New("name the model in \"model\"; /v1/models lists yours")
	}
	if len(b.prompt()) == 0 {
		return b, nil, errors.New("give \"messages\" or \"prompt\"")
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		return b, nil, errors.New("\"max_tokens\" must not be negative")
	}
	if b.Stream {
		return b, raw, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return b, nil, errors.Wrap(err, "the body must be a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	upstream, err := json.Marshal(fields)
	return b, upstream, err
}

func readTimeout(w http.ResponseWriter, r *http.Request, id step.RequestID) (time.Duration, bool) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return 0, true
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		refuse(w, r, id, refusal(http.StatusBadRequest, step.CodeBadRequest, HeaderTimeout+" must be a positive number of milliseconds"))
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// generation is one completion on its way to the caller.
type generation struct {
	h     *Handler
	w     http.ResponseWriter
	flush *http.ResponseController
	id    step.RequestID
	req   step.Request
	body  []byte
	chat  bool

	begun  bool // headers of a stream are out
	text   bytes.Buffer
	finish string
	usage  *target.Usage
}

func (g *generation) attempt(ctx context.Context, d step.Dispatch) step.AttemptEnded {
	return g.h.targets.Generate(ctx, target.Attempt{
		Dispatch: d, Method: http.MethodPost, Path: g.req.Path, Body: g.body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}, g.chunk)
}

// chunk passes one chunk on, or keeps its text for the whole answer.
func (g *generation) chunk(c target.Chunk) error {
	if !g.req.Stream {
		g.keep(c)
		return nil
	}
	if !g.begun {
		g.begin()
	}
	if _, err := fmt.Fprintf(g.w, "data: %s\n\n", c.Data); err != nil {
		return err
	}
	return g.flush.Flush()
}

func (g *generation) begin() {
	g.begun = true
	head := g.w.Header()
	head.Set("Content-Type", "text/event-stream")
	head.Set("Cache-Control", "no-cache")
	head.Set(HeaderRequestID, string(g.id))
	head.Set("Trailer", HeaderOutcome)
	g.w.WriteHeader(http.StatusOK)
}

func (g *generation) keep(c target.Chunk) {
	for _, choice := range c.Choices {
		g.text.WriteString(choice.Delta.Content)
		g.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			g.finish = choice.FinishReason
		}
	}
	if c.Usage != nil {
		g.usage = c.Usage
	}
}

func (g *generation) deliver() {
	if !g.req.Stream {
		g.w.Header().Set(HeaderOutcome, string(object.Completed))
		writeJSON(g.w, http.StatusOK, g.id, g.completion())
		return
	}
	if !g.begun {
		g.begin()
	}
	_, _ = io.WriteString(g.w, "data: [DONE]\n\n")
	g.w.Header().Set(HeaderOutcome, string(object.Completed))
}

func (g *generation) fail(a step.Answer) {
	if !g.begun {
		writeError(g.w, g.id, a)
		return
	}
	writeStreamError(g.w, g.id, a)
	g.w.Header().Set(HeaderOutcome, string(a.Outcome))
}

// completion is the answer of a request that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *target.Usage      `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (g *generation) completion() completion {
	text := g.text.String()
	choice := completionChoice{FinishReason: g.finish}
	c := completion{ID: string(g.id), Created: time.Now().Unix(), Model: g.req.Model, Usage: g.usage}
	if g.chat {
		c.Object = "chat.completion"
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Object = "text_completion"
		choice.Text = &text
	}
	c.Choices = []completionChoice{choice}
	return c
}
