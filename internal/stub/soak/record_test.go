package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExcerptsHoldTheMomentAndTheRequest guards against findings whose logs only show their end.
func TestExcerptsHoldTheMomentAndTheRequest(t *testing.T) {
	dir := t.TempDir()
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	line := func(after time.Duration, text string) string {
		return fmt.Sprintf(`{"time":%q,"msg":%q,"request":"%s"}`+"\n", at.Add(after).Format(time.RFC3339Nano), text, "read-"+text)
	}
	log := line(-time.Minute, "1") + line(-time.Second, "2") + line(-100*time.Millisecond, "3") + "goroutine 1\n" + line(time.Second, "4")
	for name, text := range map[string]string{
		"gateway-0.log": log, runsFile: "",
		planFile: fmt.Sprintf(`{"at":%q,"phase":"begin","kind":"daemon-stop","scope":"gateway-0"}`, at.Format(time.RFC3339Nano)),
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	excerpts, err := Excerpts(Report{Logs: dir, Findings: []Finding{{Promise: "lost", Detail: "read-1 was cut", Request: "read-1", Moment: at}}})
	require.NoError(t, err)
	for _, part := range []string{"lost: read-1 was cut", `"request":"read-1"`, `"request":"read-3"`, "goroutine 1", "daemon-stop"} {
		require.Contains(t, excerpts, part)
	}
	require.NotContains(t, excerpts, "read-2")
	require.NotContains(t, excerpts, "read-4")
}
