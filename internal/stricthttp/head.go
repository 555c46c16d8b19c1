package stricthttp

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckHead returns an error if the head of an answer is invalid. net/http accepts blanks in the names of fields, and
// does not take such a field for the framing.
func CheckHead(resp *http.Response) error { return checkNames(resp.Header) }

// checkNames returns an error if the name of a field is no token.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("invalid answer: field name %q", name)
		}
	}
	return nil
}
