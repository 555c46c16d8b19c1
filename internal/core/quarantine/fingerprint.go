package quarantine

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Kind is what a fingerprint identifies.
type Kind uint8

// The kinds.
const (
	// Content identifies requests that ask for the same: equal method, path, caller and body.
	Content Kind = iota + 1
	// ContentWithoutQuery is Content with any query.
	ContentWithoutQuery
	// PromptPart identifies requests whose prompts share a part. Its hash is the part's ID.
	PromptPart
)

var kindNames = map[Kind]string{Content: "content", ContentWithoutQuery: "path", PromptPart: "part"}

// Fingerprint identifies one thing that may crash hosts, among the things of which a request
// consists.
type Fingerprint struct {
	Kind Kind
	Hash uint64
}

// String returns the fingerprint in the form that UnmarshalText reads, such as
// "content-00a1b2c3d4e5f607".
func (f Fingerprint) String() string { return fmt.Sprintf("%s-%016x", kindNames[f.Kind], f.Hash) }

// MarshalText returns String.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the form of String.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	kind, hash, _ := strings.Cut(string(text), "-")
	n, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return errors.Errorf("%q is no fingerprint: give a kind, a dash and a hexadecimal number", text)
	}
	for k, name := range kindNames {
		if name == kind {
			*f = Fingerprint{k, n}
			return nil
		}
	}
	return errors.Errorf("%q is of an unknown kind of fingerprint", text)
}

// Compare orders fingerprints.
func Compare(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Hash, b.Hash))
}
