// Command stand2 plays the scripts of the second review: real daemons as processes between stand-ins of
// callers, servers and the platform, on loopback. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
)

// cases are the cases by name. Each returns what broke the rule, empty if nothing did.
var cases = map[string]func(w *world, trouble bool) (broken string, err error){
	"crashing-part":  crashingPart,
	"changed-path":   changedPath,
	"shared-prompts": sharedPrompts,
	"silent-servers": silentServers,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

func play(name, program, path string, trouble bool) (broken string, err error) {
	out, err := os.Create(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return "", err
	}
	prefix, release, err := reserve()
	if err != nil {
		return "", err
	}
	defer release()
	w := &world{dir: dir, program: program, prefix: prefix, caller: load.NewFrontedCaller(), record: &record{out: out, begin: time.Now()}}
	defer func() {
		w.close()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	w.record.line("case %s, disruption: %t", name, trouble)
	broken, err = cases[name](w, trouble)
	switch {
	case err != nil:
		w.record.line("could not run: %v", err)
	case broken != "":
		w.record.line("BROKEN: %s", broken)
	default:
		w.record.line("held")
	}
	return broken, err
}

// reserve finds loopback addresses on which no other case runs.
func reserve() (prefix string, release func(), err error) {
	for n := range 200 {
		prefix = fmt.Sprintf("127.77.%d.", 1+(os.Getpid()+n)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s250:%d", prefix, callersPort))
		if err == nil {
			return prefix, func() { _ = l.Close() }, nil
		}
	}
	return "", nil, fmt.Errorf("no loopback addresses are free")
}
