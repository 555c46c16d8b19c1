package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/objectjson"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	kind := object.Kind(chi.URLParam(r, "kind"))
	if _, err := object.New(kind); err != nil {
		writeError(w, newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error()))
		return
	}
	list := operatorapi.List{Items: []operatorapi.Object{}}
	var encodeErr error
	_, err := s.store.List(r.Context(), kind, func(o object.Object) {
		item, err := encode(o)
		encodeErr = errors.Join(encodeErr, err)
		list.Items = append(list.Items, item)
	})
	if err = errors.Join(err, encodeErr); err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := objectAddress(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	o, err := s.store.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeObject(w, o)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := writableAddress(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	version, failure := ifVersion(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	value, failure := readValue(w, r, kind)
	if failure != nil {
		writeError(w, failure)
		return
	}
	o, err := s.store.Put(r.Context(), name, version, value)
	if _, lost := errors.Into[*platform.LostError](err); lost {
		o, err = s.confirmWrite(r.Context(), name, version, value, err)
	}
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeObject(w, o)
}

// confirmWrite reads an object after a write whose answer was lost. If the object has a
// version later than ifVersion and the value to be written, the write counts as done and
// confirmWrite returns the object. Otherwise the outcome is unknown, and it returns the
// error lost.
func (s *server) confirmWrite(ctx context.Context, name string, ifVersion object.Version, value object.Value, lost error) (object.Object, error) {
	o, err := s.store.Get(ctx, value.Kind(), name)
	if err == nil && o.Version > ifVersion && reflect.DeepEqual(o.Value, value) {
		return o, nil
	}
	return object.Object{}, lost
}

func (s *server) delete(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := writableAddress(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	version, failure := ifVersion(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	if err := s.store.Delete(r.Context(), kind, name, version); err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.Object{Kind: kind, Name: name})
}

// objectAddress returns the kind and name of the object in the request's path, or an error
// answer if one of them is invalid.
func objectAddress(r *http.Request) (object.Kind, string, *errorAnswer) {
	kind := object.Kind(chi.URLParam(r, "kind"))
	name, err := url.PathUnescape(chi.URLParam(r, "name"))
	if err == nil {
		_, err = object.New(kind)
	}
	if err == nil {
		err = object.CheckName(name)
	}
	if err != nil {
		return "", "", newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error())
	}
	return kind, name, nil
}

// writableAddress is like objectAddress, but refuses the kinds that only the system writes.
func writableAddress(r *http.Request) (object.Kind, string, *errorAnswer) {
	kind, name, failure := objectAddress(r)
	if failure == nil && !slices.Contains(object.ConfigKinds, kind) {
		failure = newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid,
			"kind \""+string(kind)+"\" is the system's own record: write contract, model, service, datacentre or host instead")
	}
	return kind, name, failure
}

func ifVersion(r *http.Request) (object.Version, *errorAnswer) {
	version, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		return 0, newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, "give ifVersion=N with the version that was read, 0 to create")
	}
	return object.Version(version), nil
}

// readValue reads and checks the object value in the request's body.
func readValue(w http.ResponseWriter, r *http.Request, kind object.Kind) (object.Value, *errorAnswer) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	if _, large := errors.Into[*http.MaxBytesError](err); large {
		return nil, newErrorAnswer(http.StatusRequestEntityTooLarge, operatorapi.CodeTooLarge,
			"send at most "+strconv.Itoa(object.MaxValueBytes)+" bytes")
	}
	if err != nil {
		return nil, newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, "send the whole body")
	}
	value, err := objectjson.Decode(kind, data)
	if err != nil {
		return nil, newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error())
	}
	return value, nil
}

// encode converts an object to its form in the protocol. A deleted object has no value.
func encode(o object.Object) (operatorapi.Object, error) {
	item := operatorapi.Object{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if o.Deleted() {
		return item, nil
	}
	value, err := json.Marshal(o.Value)
	item.Value = value
	return item, err
}
