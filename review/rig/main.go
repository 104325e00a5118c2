package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(root string, trouble bool, rec *record) (int, error){
	"endless-head": endlessHeadCase,
	"wall":         wallCase,
	"rollout":      rolloutCase,
}

// Usage: rig CASE FOLDER, in the root of the repository. With TROUBLE=0 the disruption is
// left out.
func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER")
		return couldnt
	}
	root, err := os.Getwd()
	if err == nil {
		root, err = filepath.Abs(root)
	}
	if err != nil {
		fmt.Println(err)
		return couldnt
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldnt
	}
	result, err := cases[os.Args[1]](root, os.Getenv("TROUBLE") != "0", rec)
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldnt
	}
	return result
}
