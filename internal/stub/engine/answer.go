package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

const finishLength = "length"

// Usage holds the token counts of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the text of an answer or chunk. Exactly one of Text, Delta and Message is set.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Answer is a complete answer or one chunk of a stream. Offset is the number of tokens of the
// completion that have been delivered with it.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt string   `json:"attempt"`
	Offset  int      `json:"offset"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// answerWriter writes one answer, in one piece or as a stream.
type answerWriter struct {
	w       http.ResponseWriter
	chat    bool
	attempt string
	request Request
	prompt  string
}

func (a *answerWriter) usage() *Usage {
	promptTokens := len(a.prompt)/4 + 1
	return &Usage{
		PromptTokens: promptTokens, CompletionTokens: a.request.MaxTokens,
		TotalTokens: promptTokens + a.request.MaxTokens,
	}
}

func (a *answerWriter) answer(object string, offset int, choice Choice) Answer {
	return Answer{
		ID: "cmpl-" + a.attempt, Object: object, Model: a.request.Model,
		Attempt: a.attempt, Offset: offset, Choices: []Choice{choice},
	}
}

func (a *answerWriter) startStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
}

// writeChunk writes a chunk of text after which the stream has reached the offset.
func (a *answerWriter) writeChunk(text string, offset int) {
	if a.chat {
		a.writeEvent(a.answer("chat.completion.chunk", offset, Choice{Delta: &Message{Role: "assistant", Content: text}}))
		return
	}
	a.writeEvent(a.answer("text_completion", offset, Choice{Text: text}))
}

// finishStream writes the chunk with the finish reason and usage, then the terminal event.
func (a *answerWriter) finishStream() {
	reason := finishLength
	choice, object := Choice{FinishReason: &reason}, "text_completion"
	if a.chat {
		choice.Delta, object = &Message{}, "chat.completion.chunk"
	}
	last := a.answer(object, a.request.MaxTokens, choice)
	last.Usage = a.usage()
	a.writeEvent(last)
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	a.flush()
}

func (a *answerWriter) writeEvent(answer Answer) {
	text, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", text)
	a.flush()
}

func (a *answerWriter) flush() {
	// A lost connection cancels the request's context, which the run checks.
	_ = http.NewResponseController(a.w).Flush()
}

// writeComplete writes the answer in one piece. With truncate it aborts after half of it.
func (a *answerWriter) writeComplete(text string, truncate bool) {
	reason := finishLength
	choice, object := Choice{Text: text, FinishReason: &reason}, "text_completion"
	if a.chat {
		choice = Choice{Message: &Message{Role: "assistant", Content: text}, FinishReason: &reason}
		object = "chat.completion"
	}
	answer := a.answer(object, a.request.MaxTokens, choice)
	answer.Usage = a.usage()
	body, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncate {
		_, _ = a.w.Write(body[:len(body)/2])
		a.flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(body)
}
