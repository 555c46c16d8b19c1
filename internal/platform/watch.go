package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// Listing is the result of a list without the objects.
type Listing struct {
	// Revision is the lowest revision of the pages, so a watch from it misses no change.
	Revision object.Version
	// Refused are the objects that could not be decoded or break a rule.
	Refused []step.RefusedObject
}

// List reads all objects of a kind, page by page, and passes each to the callback. Errors:
// UnsentError, LostError, RejectedError.
func (c *Client) List(ctx context.Context, kind object.Kind, each func(object.Object)) (Listing, error) {
	var l Listing
	after := ""
	for first := true; first || after != ""; first = false {
		page, err := c.page(ctx, kind, after)
		if err != nil {
			return Listing{}, err
		}
		revision := object.Version(page.Revision)
		if first || revision < l.Revision {
			l.Revision = revision
		}
		for _, e := range page.Items {
			if o, refused := decodeOrRefuse(e); refused != nil {
				l.Refused = append(l.Refused, *refused)
			} else {
				each(o)
			}
		}
		after = page.Next
	}
	return l, nil
}

func (c *Client) page(ctx context.Context, kind object.Kind, after string) (platformapi.Page, error) {
	query := url.Values{"limit": {strconv.Itoa(pageLimit)}}
	if after != "" {
		query.Set("after", after)
	}
	a, err := c.Do(ctx, Call{
		Op: "list", Method: http.MethodGet, Path: platformapi.PathObjects + url.PathEscape(string(kind)), Query: query,
	})
	if err != nil {
		return platformapi.Page{}, err
	}
	var page platformapi.Page
	return page, a.Decode(&page)
}

// Watch waits for changes of the given kinds after a revision, for at most wait. The batch is
// empty if there were none. Errors: ErrGone, UnsentError, LostError, RejectedError.
func (c *Client) Watch(ctx context.Context, kinds []object.Kind, from object.Version, wait time.Duration) (step.ConfigBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+WatchGrace)
	defer cancel()
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k))
	}
	a, err := c.DoWatch(ctx, Call{Op: "watch", Method: http.MethodGet, Path: platformapi.PathWatch, Query: url.Values{
		"kinds":      {strings.Join(names, ",")},
		"from":       {strconv.FormatUint(uint64(from), 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}})
	if err != nil {
		return step.ConfigBatch{}, err
	}
	if a.Status == http.StatusGone {
		return step.ConfigBatch{}, ErrGone
	}
	var w platformapi.WatchBatch
	if err := a.Decode(&w); err != nil {
		return step.ConfigBatch{}, err
	}
	b := step.ConfigBatch{Revision: object.Version(w.Revision)}
	for _, e := range w.Changes {
		if o, refused := decodeOrRefuse(e); refused != nil {
			b.Refused = append(b.Refused, *refused)
		} else {
			b.Objects = append(b.Objects, o)
		}
	}
	return b, nil
}

// decodeOrRefuse decodes an object, or returns the reason why it can't come into force.
func decodeOrRefuse(e platformapi.Envelope) (object.Object, *step.RefusedObject) {
	o, err := decodeEnvelope(e)
	if err == nil {
		return o, nil
	}
	return object.Object{}, &step.RefusedObject{
		Kind: object.Kind(e.Kind), Name: e.Name, Version: object.Version(e.Version), Reason: err.Error(),
	}
}
