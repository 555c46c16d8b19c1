// Package load sends requests to daemons at a given rate, as their callers would, with a bound
// on the requests in flight. It checks that each answer is complete, belongs to its request
// and has an outcome.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

const (
	headerOutcome        = "X-Outcome"
	headerAttemptOutcome = "X-Attempt-Outcome"
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Timeout-Ms"
	maxEventBytes        = 1 << 20
	// deadlineGrace is how long a caller waits for the answer after the deadline that it sent.
	deadlineGrace = 5 * time.Second
)

// Result is the result of one request, as its caller saw it.
type Result struct {
	Address string
	Key     string
	Request string // the daemon's ID of the request, if there was an answer
	Sent    time.Time
	// Status is 0 if there was no answer.
	Status         int
	Outcome        object.Outcome
	AttemptOutcome object.Outcome
	Code           string // of an error answer or error event
	// Complete is true if the answer ended properly. Wrong is true if the answer belongs to
	// another request, repeats a part, or ended properly although a part is missing.
	Complete bool
	Wrong    bool
	// ErrorEvent is true if a stream ended with an error event.
	ErrorEvent bool
	Tokens     int
	Latency    time.Duration
	FirstToken time.Duration
	// WorstGap is the longest time between two tokens of a stream.
	WorstGap time.Duration
	Err      error
}

// Cut reports whether the connection was lost before the answer ended.
func (r Result) Cut() bool {
	return !r.Complete && !r.ErrorEvent && (r.Err != nil || r.Status == 0 || r.Status == http.StatusOK)
}

// Caller sends requests with the key of one customer.
type Caller struct {
	// Key is the customer's bearer key.
	Key string
	// Deadline is sent with each request.
	Deadline time.Duration
	client   *http.Client
}

// NewCaller returns a caller with its own connections.
func NewCaller(key string, deadline time.Duration) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	return &Caller{Key: key, Deadline: deadline, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // begins with a slash
	Key     string // idempotency key, or empty
	Body    []byte
}

// Call sends a call and checks that the answer belongs to it.
func (c *Caller) Call(ctx context.Context, address string, call Call) Result {
	result := Result{Address: address, Key: call.Key, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+deadlineGrace)
	defer cancel()
	response, err := c.send(ctx, call.Method, "http://"+address+"/v1/services/"+call.Service+call.Path, call.Key, call.Body)
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	result.readHeader(response)
	text, err := io.ReadAll(response.Body)
	result.Latency = time.Since(result.Sent)
	if err != nil {
		result.Err = err
		return result
	}
	if response.StatusCode != http.StatusOK {
		result.Code = errorCode(text)
		return result
	}
	result.Complete = true
	result.Wrong = !answersCall(text, call)
	return result
}

func answersCall(text []byte, call Call) bool {
	var answer service.Answer
	if err := json.Unmarshal(text, &answer); err != nil {
		return false
	}
	return answer.Key == call.Key && answer.BodyDigest == service.Digest(call.Body)
}

func (c *Caller) send(ctx context.Context, method, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents the transport from repeating a call with a body
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set(headerTimeout, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(engineapi.HeaderIdempotencyKey, key)
	}
	return c.client.Do(request)
}

func (r *Result) readHeader(response *http.Response) {
	r.Status = response.StatusCode
	r.Request = response.Header.Get(headerRequestID)
	r.Outcome = object.Outcome(response.Header.Get(headerOutcome))
	r.AttemptOutcome = object.Outcome(response.Header.Get(headerAttemptOutcome))
}

func errorCode(text []byte) string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A body in another format has no code.
	_ = json.Unmarshal(text, &body)
	return body.Error.Code
}

// Generate sends a completion request and checks the text of the answer.
func (c *Caller) Generate(ctx context.Context, address string, body engine.Request) Result {
	result := Result{Address: address, Sent: time.Now()}
	text, err := json.Marshal(body)
	if err != nil {
		result.Err = err
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+deadlineGrace)
	defer cancel()
	response, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/completions", "", text)
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	result.readHeader(response)
	switch {
	case response.StatusCode != http.StatusOK:
		text, err := io.ReadAll(response.Body)
		result.Code, result.Err = errorCode(text), err
	case body.Stream:
		result.readStream(response, body)
	default:
		result.readComplete(response.Body, body)
	}
	result.Latency = time.Since(result.Sent)
	return result
}

func (r *Result) readComplete(from io.Reader, body engine.Request) {
	var answer engine.Answer
	if r.Err = json.NewDecoder(from).Decode(&answer); r.Err != nil {
		return
	}
	r.Complete = true
	r.Tokens = body.MaxTokens
	r.Wrong = len(answer.Choices) != 1 || answer.Choices[0].Text != engine.Text(body.Prompt, 0, body.MaxTokens)
}

// readStream reads the events of a stream and compares its tokens with those of the prompt.
func (r *Result) readStream(response *http.Response, body engine.Request) {
	s := streamReader{result: r, body: body, lastTokenAt: r.Sent}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for lines.Scan() {
		s.line(lines.Text())
	}
	r.Err = lines.Err()
	if outcome := response.Trailer.Get(headerOutcome); outcome != "" {
		r.Outcome = object.Outcome(outcome)
	}
	r.Tokens = s.tokens
	if r.Complete && s.text.String() != engine.Text(body.Prompt, 0, body.MaxTokens) {
		r.Wrong = true
	}
}

// streamReader is the state of reading one stream.
type streamReader struct {
	result      *Result
	body        engine.Request
	text        strings.Builder
	tokens      int
	lastTokenAt time.Time
	event       string // name of the event being read
}

func (s *streamReader) line(line string) {
	if name, ok := strings.CutPrefix(line, "event: "); ok {
		s.event = name
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	switch {
	case s.event == "error":
		s.result.ErrorEvent = true
		s.result.Code = errorCode([]byte(data))
	case data == "[DONE]":
		s.result.Complete = true
	default:
		s.chunk(data)
	}
	s.event = ""
}

func (s *streamReader) chunk(data string) {
	var chunk engine.Answer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		s.result.Wrong = true
		return
	}
	token := chunk.Choices[0].Text
	if token == "" {
		return
	}
	now := time.Now()
	if s.tokens == 0 {
		s.result.FirstToken = now.Sub(s.result.Sent)
	} else {
		s.result.WorstGap = max(s.result.WorstGap, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	if token != engine.Token(s.body.Prompt, s.tokens) {
		s.result.Wrong = true // a repeated or lost token, or one of another request
	}
	s.tokens++
	s.text.WriteString(token)
}
