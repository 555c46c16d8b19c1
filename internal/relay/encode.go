package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"
)

// minGzipBytes is the size from which on an answer is worth compressing.
const minGzipBytes = 1 << 10

// answerID identifies the content of an answer of one feed.
type answerID struct {
	era, after, revision uint64
	batches              int
}

// answerBody is an encoded answer. gzipped is nil if the answer is small.
type answerBody struct{ plain, gzipped []byte }

// encodedAnswer holds the last answer in its encoded form. All daemons that wait for a change get
// the same answer, so that it is encoded and compressed once. It is safe for concurrent use.
type encodedAnswer struct {
	mu   sync.Mutex
	id   answerID
	body answerBody
}

// get returns the encoded form of an answer.
func (e *encodedAnswer) get(id answerID, c Changes) (answerBody, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.body.plain != nil && e.id == id {
		return e.body, nil
	}
	plain, err := json.Marshal(c)
	if err != nil {
		return answerBody{}, errors.Wrap(err, "encode the changes")
	}
	body := answerBody{plain: plain}
	if len(plain) >= minGzipBytes {
		var out bytes.Buffer
		z := gzip.NewWriter(&out)
		_, err := z.Write(plain)
		if err = errors.Join(err, z.Close()); err != nil {
			return answerBody{}, errors.Wrap(err, "compress the changes")
		}
		body.gzipped = out.Bytes()
	}
	e.id, e.body = id, body
	return body, nil
}
