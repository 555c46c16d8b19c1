package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// The exit codes.
const (
	held    = 0 // the rule held
	broken  = 1 // the rule was broken
	cantRun = 2 // the case couldn't run
)

var cases = map[string]func(*world) (int, error){
	"evacuation": evacuation,
	"reborn":     reborn,
	"handover":   handover,
	"stop":       stop,
	"deadly":     deadly,
	"memory":     memory,
}

// timeout bounds a run.
const timeout = 100 * time.Second

func main() {
	runtime.LockOSThread() // daemons are killed when the thread that started them ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give a case and the folder for record.txt")
		os.Exit(cantRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	time.AfterFunc(timeout, func() {
		fmt.Fprintln(os.Stderr, "not done in time")
		os.Exit(cantRun) // the kernel kills the daemons
	})
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.say("can't run: %v", err)
		code = cantRun
	}
	w.say("exit code %d", code)
	w.close()
	os.Exit(code)
}
