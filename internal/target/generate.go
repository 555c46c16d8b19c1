package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// Chunk is one event of an engine's stream.
type Chunk struct {
	Attempt string `json:"attempt"` // ID of the attempt that the engine is answering
	// Offset is the number of tokens of the answer up to and including this chunk, counted
	// from its first token, also in a resumed stream.
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Data is the undecoded JSON of the event.
	Data []byte `json:"-"`
}

// Choice is one alternative of a chunk.
type Choice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// Usage is the engine's count of the request's tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

const (
	// maxEventBytes bounds one line of a stream. A longer line ends the attempt as broken.
	maxEventBytes = 1 << 20
	dataPrefix    = "data: "
	doneMarker    = "[DONE]"
)

// Generate sends an attempt to an engine and passes each chunk with new tokens to sink, in
// order and once. It drops chunks at or before the delivered offset, except those with a
// finish reason or a usage, which it passes on at the end. A chunk of another attempt ends the
// stream. The answer is complete only if a finish reason and then the terminal event came.
func (c *Client) Generate(ctx context.Context, a Attempt, sink func(Chunk) error) step.AttemptEnded {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := step.AttemptEnded{ID: a.ID, Attempt: a.Dispatch.Attempt, Delivered: a.Resume}
	s := &sendState{}
	req, err := newRequest(ctx, a, s)
	if err != nil {
		end.Ending = step.EndedUnsent
		return end
	}
	watch := time.AfterFunc(c.set.StallTimeout, func() { cancel(errStalled) })
	defer watch.Stop()
	began := time.Now()
	resp, err := c.transportFor(a.To.Address, a.Fresh).RoundTrip(req)
	if err != nil {
		end.Ending = endingOfError(ctx, s)
		c.resetPoolIfStalled(ctx, a)
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	end.Status = resp.StatusCode
	end.Incarnation = resp.Header.Get(engineapi.HeaderIncarnation)
	if got := endingOfAnswer(a, resp); resp.StatusCode != http.StatusOK || got != step.EndedComplete {
		end.Ending = got
		return end
	}
	st := &stream{attempt: a, sink: sink, end: &end, startedAt: began, lastTokenAt: began}
	st.read(resp, func() { watch.Reset(c.set.StallTimeout) })
	if end.Ending == step.EndedBroken {
		end.Ending = endingOfError(ctx, s)
		c.resetPoolIfStalled(ctx, a)
	}
	return end
}

// resetPoolIfStalled closes the pooled connections to a target after one to it has stalled,
// since they may be dead as well.
func (c *Client) resetPoolIfStalled(ctx context.Context, a Attempt) {
	if context.Cause(ctx) == errStalled {
		c.ResetPool(a.To.Address)
	}
}

// stream reads the events of one attempt.
type stream struct {
	attempt     Attempt
	sink        func(Chunk) error
	end         *step.AttemptEnded
	startedAt   time.Time
	lastTokenAt time.Time // startedAt before the first token
	finished    bool      // whether a finish reason came
	held        []Chunk   // chunks without new tokens, held back until the answer is complete
}

// read handles events up to the terminal one and sets the ending. It calls onLine for each
// line. A stream that ends in another way ends as broken, as that of a wrong attempt, or as
// cancelled by the sink.
func (st *stream) read(resp *http.Response, onLine func()) {
	st.end.Ending = step.EndedBroken
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for lines.Scan() {
		onLine()
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue // a comment or a blank line
		}
		if string(data) == doneMarker {
			st.handleDone()
			return
		}
		if !st.handleEvent(data) {
			return
		}
	}
}

// handleEvent decodes one event and passes it on or holds it back. It reports false if the
// stream must end.
func (st *stream) handleEvent(data []byte) bool {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	if c.Attempt != string(st.attempt.Dispatch.Attempt) {
		st.end.Ending = step.EndedWrongAttempt
		return false
	}
	if c.Usage != nil {
		st.end.Tokens = c.Usage.TotalTokens
	}
	for _, choice := range c.Choices {
		st.finished = st.finished || choice.FinishReason != ""
	}
	c.Data = data
	if c.Offset <= st.end.Delivered {
		st.hold(c)
		return true
	}
	st.recordTokenTime()
	if err := st.sink(c); err != nil {
		st.end.Ending = step.EndedCancelled
		return false
	}
	st.end.Delivered = c.Offset
	return true
}

// hold keeps a chunk without a new token until the answer is complete, if a finish reason has
// come or the chunk has a usage. It drops other chunks. Holding them back ensures that the
// caller receives them only once: a resumed stream would deliver them again.
func (st *stream) hold(c Chunk) {
	if !st.finished && c.Usage == nil {
		return
	}
	c.Data = bytes.Clone(c.Data)
	st.held = append(st.held, c)
}

// handleDone handles the terminal event. If a finish reason came before it, the answer is
// complete and the held chunks are passed on; otherwise the stream stays broken.
func (st *stream) handleDone() {
	if !st.finished {
		return
	}
	for _, c := range st.held {
		if err := st.sink(c); err != nil {
			st.end.Ending = step.EndedCancelled
			return
		}
	}
	st.end.Ending = step.EndedComplete
}

// recordTokenTime records the delay to the first token, or the longest gap between two chunks
// with new tokens.
func (st *stream) recordTokenTime() {
	now := time.Now()
	if st.end.FirstToken == 0 {
		st.end.FirstToken = now.Sub(st.startedAt)
	} else {
		st.end.WorstGap = max(st.end.WorstGap, now.Sub(st.lastTokenAt))
	}
	st.lastTokenAt = now
}
