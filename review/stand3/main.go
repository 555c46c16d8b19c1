package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// cases are the cases of the review, by name. Each returns an exit code.
var cases = map[string]func(g *rig, trouble bool) (int, error){
	"other-service": otherService,
	"release":       release,
	"silent-head":   silentHead,
}

// main plays a case: stand3 CASE RECORD. With TROUBLE=0 in the environment there is no disruption; with TROUBLE=stop a
// SIGTERM is the only one of the cases that send one.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(couldnt)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	rec.add("case %s, trouble %t, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	g, err := newRig(rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return couldnt
	}
	defer g.close()
	g.stopOnly = os.Getenv("TROUBLE") == "stop"
	code, err := cases[name](g, trouble)
	if err != nil {
		rec.add("could not run: %v", err)
		code = couldnt
	}
	rec.add("%s", [...]string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[code])
	fmt.Println([...]string{"held", "broken", "could not run"}[code])
	return code
}
