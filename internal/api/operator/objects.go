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
		writeError(w, invalid(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error()))
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
		writeError(w, fromStore(err))
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := address(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	o, err := s.store.Get(r.Context(), kind, name)
	if err != nil {
		writeError(w, fromStore(err))
		return
	}
	writeObject(w, o)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := writable(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	version, failure := ifVersion(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	value, failure := body(w, r, kind)
	if failure != nil {
		writeError(w, failure)
		return
	}
	o, err := s.store.Put(r.Context(), name, version, value)
	if _, lost := errors.Into[*platform.Lost](err); lost {
		o, err = s.readBack(r.Context(), name, version, value, err)
	}
	if err != nil {
		writeError(w, fromStore(err))
		return
	}
	writeObject(w, o)
}

// readBack settles a write whose answer was lost: a later version with the value
// that was to be written means that what the operator wanted stands.
func (s *server) readBack(ctx context.Context, name string, ifVersion object.Version, value object.Value, lost error) (object.Object, error) {
	o, err := s.store.Get(ctx, value.Kind(), name)
	if err == nil && o.Version > ifVersion && reflect.DeepEqual(o.Value, value) {
		return o, nil
	}
	return object.Object{}, lost
}

func (s *server) delete(w http.ResponseWriter, r *http.Request) {
	kind, name, failure := writable(r)
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
		writeError(w, fromStore(err))
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.Object{Kind: kind, Name: name})
}

func address(r *http.Request) (object.Kind, string, *failure) {
	kind := object.Kind(chi.URLParam(r, "kind"))
	name, err := url.PathUnescape(chi.URLParam(r, "name"))
	if err == nil {
		_, err = object.New(kind)
	}
	if err == nil {
		err = object.CheckName(name)
	}
	if err != nil {
		return "", "", invalid(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error())
	}
	return kind, name, nil
}

func writable(r *http.Request) (object.Kind, string, *failure) {
	kind, name, failure := address(r)
	if failure == nil && !slices.Contains(object.ConfigKinds, kind) {
		failure = invalid(http.StatusBadRequest, operatorapi.CodeInvalid,
			"kind \""+string(kind)+"\" is the system's own record: write contract, model, service, datacentre or host instead")
	}
	return kind, name, failure
}

func ifVersion(r *http.Request) (object.Version, *failure) {
	version, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		return 0, invalid(http.StatusBadRequest, operatorapi.CodeInvalid, "give ifVersion=N with the version that was read, 0 to create")
	}
	return object.Version(version), nil
}

func body(w http.ResponseWriter, r *http.Request, kind object.Kind) (object.Value, *failure) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	if _, large := errors.Into[*http.MaxBytesError](err); large {
		return nil, invalid(http.StatusRequestEntityTooLarge, operatorapi.CodeTooLarge,
			"send at most "+strconv.Itoa(object.MaxValueBytes)+" bytes")
	}
	if err != nil {
		return nil, invalid(http.StatusBadRequest, operatorapi.CodeInvalid, "send the whole body")
	}
	value, err := objectjson.Decode(kind, data)
	if err != nil {
		return nil, invalid(http.StatusBadRequest, operatorapi.CodeInvalid, err.Error())
	}
	return value, nil
}

func encode(o object.Object) (operatorapi.Object, error) {
	item := operatorapi.Object{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if o.Deleted() {
		return item, nil
	}
	value, err := json.Marshal(o.Value)
	item.Value = value
	return item, err
}
