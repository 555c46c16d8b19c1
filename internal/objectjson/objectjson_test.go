package objectjson

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

func TestRuleErrorsStateTheirPosition(t *testing.T) {
	_, err := Decode(object.KindModel, []byte("{\n  \"members\": 8,\n  \"coldLimit\": 0,\n}"))
	require.EqualError(t, err, "line 3, column 16: coldLimit: use 1 or more: a target that takes no work never warms up")
}

func FuzzDecode(f *testing.F) {
	f.Add("contract", []byte(`{"keyHashes": [], "priority": 3, "objectives": {"share": 0.95}}`))
	f.Add("model", []byte(`{"members": 8, "groups": 2, "weights": "w", "coldLimit": 1, "warmLimit": 8, "warmAfter": 20}`))
	f.Add("service", []byte(`{"targets": [{"host": "s", "address": "a:1", "dataCentre": "d"}], "coldLimit": 1, "warmLimit": 1}`))
	f.Add("datacentre", []byte(`{"out": true, /* why */ "reason": "power",}`))
	f.Add("host", []byte(`{"out": 1e999}`))
	f.Add("account", []byte(`{"slices": {"a": {"sequence": -1}}}`))
	f.Add("domain", []byte(`{"groups": {"g": null}}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		value, err := Decode(object.Kind(kind), data)
		if err != nil {
			return
		}
		again, err := json.Marshal(value)
		require.NoError(t, err)
		_, err = Decode(object.Kind(kind), again)
		require.NoError(t, err, "a value that was accepted must be accepted again after encoding")
	})
}
