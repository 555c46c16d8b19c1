package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of token i of the answer to a prompt. It depends on nothing else, so
// that a caller can check each token of a resumed stream.
func Token(prompt string, i int) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(i)))
	return fmt.Sprintf("w%06x ", digest.Sum64()&0xffffff)
}

// Text returns the tokens from (included) to to (excluded) of the answer to a prompt.
func Text(prompt string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that the messages of a chat form.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	return prompt.String()
}

// Request is the body of a completion request, with a prompt or the messages of a chat.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

func decodeRequest(body []byte) (Request, string, error) {
	request := Request{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, "", err
	}
	if len(request.Messages) > 0 {
		return request, ChatPrompt(request.Messages), nil
	}
	return request, request.Prompt, nil
}
