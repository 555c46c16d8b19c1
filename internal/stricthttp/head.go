package stricthttp

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status that the protocol knows.
const maxStatus = 599

// CheckHead returns an error if the head of an answer is invalid, or does not end its request. net/http accepts all
// statuses of three digits. It also accepts blanks in the names of fields, and does not take such a field for the framing.
func CheckHead(resp *http.Response) error {
	switched := resp.StatusCode == http.StatusSwitchingProtocols && resp.Request.Header.Get("Upgrade") != ""
	if !switched && (resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus) {
		return errors.Errorf("invalid answer: status %q", resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field is no token.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("invalid answer: field name %q", name)
		}
	}
	return nil
}
