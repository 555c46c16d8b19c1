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
	Attempt string `json:"attempt"`
	// Offset is the number of tokens of the whole answer up to and with this chunk.
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Data is the event as it came.
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

// Usage is the engine's own count of tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

const (
	maxEventBytes = 1 << 20
	dataPrefix    = "data: "
	doneMarker    = "[DONE]"
)

// Generate sends an attempt to an engine and hands each new chunk to sink, in
// order and once. Chunks of another attempt end it; chunks at or before the
// delivered offset are dropped. The answer is whole only after its terminal event.
func (c *Client) Generate(ctx context.Context, a Attempt, sink func(Chunk) error) step.AttemptEnded {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := step.AttemptEnded{ID: a.ID, Attempt: a.Dispatch.Attempt, Delivered: a.Resume}
	s := &sent{}
	req, err := newRequest(ctx, a, s)
	if err != nil {
		end.Ending = step.EndedUnsent
		return end
	}
	watch := time.AfterFunc(c.set.Silence, func() { cancel(errSilent) })
	defer watch.Stop()
	began := time.Now()
	resp, err := c.transportFor(a.To.Address, a.Fresh).RoundTrip(req)
	if err != nil {
		end.Ending = ending(ctx, s)
		c.dropSilent(ctx, a)
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	end.Status = resp.StatusCode
	end.Incarnation = resp.Header.Get(engineapi.HeaderIncarnation)
	if got := judge(a, resp); resp.StatusCode != http.StatusOK || got != step.EndedWhole {
		end.Ending = got
		return end
	}
	st := &stream{attempt: a, sink: sink, end: &end, began: began, last: began}
	st.read(resp, func() { watch.Reset(c.set.Silence) })
	if end.Ending == step.EndedBroken {
		end.Ending = ending(ctx, s)
		c.dropSilent(ctx, a)
	}
	return end
}

// dropSilent closes what is pooled beside a connection that went silent.
func (c *Client) dropSilent(ctx context.Context, a Attempt) {
	if context.Cause(ctx) == errSilent {
		c.Drop(a.To.Address)
	}
}

// stream reads the events of one attempt.
type stream struct {
	attempt  Attempt
	sink     func(Chunk) error
	end      *step.AttemptEnded
	began    time.Time
	last     time.Time // of the last token
	finished bool      // a finish reason came
	tail     []Chunk   // chunks without new tokens, held back until the answer is whole
}

// read takes events until the terminal one; anything else ends the stream as
// broken, crossed or cancelled.
func (st *stream) read(resp *http.Response, alive func()) {
	st.end.Ending = step.EndedBroken
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for lines.Scan() {
		alive()
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue // a comment or a blank line
		}
		if string(data) == doneMarker {
			st.done()
			return
		}
		if !st.event(data) {
			return
		}
	}
}

// event takes one event; it reports false if the stream must end.
func (st *stream) event(data []byte) bool {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	if c.Attempt != string(st.attempt.Dispatch.Attempt) {
		st.end.Ending = step.EndedCrossed
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
	st.time()
	if err := st.sink(c); err != nil {
		st.end.Ending = step.EndedCancelled
		return false
	}
	st.end.Delivered = c.Offset
	return true
}

// hold keeps a chunk that brings no new token. Only one with a finish reason or a
// usage is of use, and only once: a resumed stream would bring it again.
func (st *stream) hold(c Chunk) {
	if !st.finished && c.Usage == nil {
		return
	}
	c.Data = bytes.Clone(c.Data)
	st.tail = append(st.tail, c)
}

// done takes the terminal event: with a finish reason before it the answer is whole.
func (st *stream) done() {
	if !st.finished {
		return
	}
	for _, c := range st.tail {
		if err := st.sink(c); err != nil {
			st.end.Ending = step.EndedCancelled
			return
		}
	}
	st.end.Ending = step.EndedWhole
}

func (st *stream) time() {
	now := time.Now()
	if st.end.FirstToken == 0 {
		st.end.FirstToken = now.Sub(st.began)
	} else {
		st.end.WorstGap = max(st.end.WorstGap, now.Sub(st.last))
	}
	st.last = now
}
