// Command lab runs the cases of the review: a small deployment of daemons on loopback addresses, with
// stand-ins of the clients, the servers and the platform's store.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 115 * time.Second
)

var cases = map[string]func(l *lab, trouble bool) (int, error){
	"nested":     nestedCase,
	"quarantine": quarantineCase,
	"clock":      clockCase,
	"registry":   registryCase,
	"stream":     streamCase,
	"seeds":      seedsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, dir string) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	l, err := newLab(ctx, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	code, err := cases[name](l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
