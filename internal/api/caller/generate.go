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
	// bytesPerToken converts the size of a prompt into an estimate of its tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the expected number of answer tokens if the caller does not set
	// max_tokens.
	defaultMaxTokens = 256
	// affinityPrefixBytes is the length of the prompt prefix whose hash the reducer uses for
	// cache affinity: requests with the same prefix prefer the same target.
	affinityPrefixBytes = 1024
)

// generateBody holds the fields of a completion request that the daemon reads. All other
// fields pass to the engine unchanged.
type generateBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// prompt returns the undecoded JSON of the messages or the prompt.
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
	in, ok := h.readInput(w, r)
	if !ok {
		return
	}
	body, upstream, err := parseGenerate(in.body)
	if err != nil {
		writeError(w, in.id, refusalAnswer(http.StatusBadRequest, step.CodeBadRequest, err.Error()))
		return
	}
	prompt := body.prompt()
	req := step.Request{
		ID: in.id, Customer: in.customer, Model: body.Model,
		Method: r.Method, Path: r.URL.Path,
		Fingerprint:  xxhash.Sum64(in.body),
		Prefix:       xxhash.Sum64(prompt[:min(len(prompt), affinityPrefixBytes)]),
		PromptTokens: len(prompt)/bytesPerToken + 1,
		MaxTokens:    body.maxTokens(),
		Stream:       body.Stream, Timeout: in.timeout,
	}
	g := &generation{
		h: h, w: w, controller: http.NewResponseController(w), id: in.id, req: req, upstreamBody: upstream,
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
	}
	h.exchange(r, req, g)
}

// readBody reads the request's body. If it is too large or incomplete, it answers 413 or
// 400 and returns false.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, id step.RequestID) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBodyBytes))
	if err == nil {
		return body, true
	}
	a := refusalAnswer(http.StatusBadRequest, step.CodeBadRequest, "the body did not arrive whole: send it again")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a = refusalAnswer(http.StatusRequestEntityTooLarge, step.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes: shorten it", tooLarge.Limit))
	}
	refuse(w, r, id, a)
	return nil, false
}

// parseGenerate checks a request body. It returns the decoded fields and the body for the
// engine, which always asks for a stream, even if the caller does not: a stream shows
// progress, and it can be resumed on another target.
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

// readTimeout returns the timeout that the caller sets, or zero if there is none. It
// answers 400 and returns false if the header is invalid.
func readTimeout(w http.ResponseWriter, r *http.Request, id step.RequestID) (time.Duration, bool) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return 0, true
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		refuse(w, r, id, refusalAnswer(http.StatusBadRequest, step.CodeBadRequest, HeaderTimeout+" must be a positive number of milliseconds"))
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// generation answers one completion request. It implements responder.
type generation struct {
	h            *Handler
	w            http.ResponseWriter
	controller   *http.ResponseController // flushes w after each chunk
	id           step.RequestID
	req          step.Request
	upstreamBody []byte // body for the engine; always asks for a stream
	chat         bool   // chat completion rather than text completion

	// headersSent is true once the headers of a streamed answer have been sent. From then on
	// an error can only be reported as an event of the stream.
	headersSent bool

	// text, finishReason and usage collect the engine's stream for an answer that is not
	// streamed to the caller.
	text         bytes.Buffer
	finishReason string
	usage        *target.Usage
}

func (g *generation) runAttempt(ctx context.Context, d step.Dispatch) step.AttemptEnded {
	return g.h.targets.Generate(ctx, target.Attempt{
		Dispatch: d, Method: http.MethodPost, Path: g.req.Path, Body: g.upstreamBody,
		Header: http.Header{"Content-Type": {"application/json"}},
	}, g.onChunk)
}

// onChunk passes one chunk of the engine's stream to the caller, or collects its text if
// the caller did not ask for a stream.
func (g *generation) onChunk(c target.Chunk) error {
	if !g.req.Stream {
		g.collect(c)
		return nil
	}
	if !g.headersSent {
		g.sendHeaders()
	}
	if _, err := fmt.Fprintf(g.w, "data: %s\n\n", c.Data); err != nil {
		return err
	}
	return g.controller.Flush()
}

func (g *generation) sendHeaders() {
	g.headersSent = true
	head := g.w.Header()
	head.Set("Content-Type", "text/event-stream")
	head.Set("Cache-Control", "no-cache")
	head.Set(HeaderRequestID, string(g.id))
	head.Set("Trailer", HeaderOutcome)
	g.w.WriteHeader(http.StatusOK)
}

func (g *generation) collect(c target.Chunk) {
	for _, choice := range c.Choices {
		g.text.WriteString(choice.Delta.Content)
		g.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			g.finishReason = choice.FinishReason
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
	if !g.headersSent {
		g.sendHeaders()
	}
	_, _ = io.WriteString(g.w, "data: [DONE]\n\n")
	g.w.Header().Set(HeaderOutcome, string(object.Completed))
}

func (g *generation) fail(a step.Answer) {
	if !g.headersSent {
		writeError(g.w, g.id, a)
		return
	}
	writeStreamError(g.w, g.id, a)
	g.w.Header().Set(HeaderOutcome, string(a.Outcome))
}

// completion is the answer body of a request that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *target.Usage      `json:"usage,omitempty"`
}

// completionChoice has a Message in a chat completion and a Text in a text completion.
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
	choice := completionChoice{FinishReason: g.finishReason}
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
