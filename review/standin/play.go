package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Play is one run of a case.
type Play struct {
	*Record
	Root      string // of the repository
	Directory string // temporary
	Trouble   bool   // false with TROUBLE=0
}

// Main runs a case and exits: with the code that it returns, or with 2 if it could not run. The arguments are the
// repository's root and the folder of the case.
func Main(play func(p *Play) (int, error)) {
	runtime.LockOSThread() // the app servers end with this thread, see Server.Start
	code, err := playOnce(play)
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func playOnce(play func(p *Play) (int, error)) (int, error) {
	if len(os.Args) != 3 {
		return 2, fmt.Errorf("two arguments are wanted: the repository's root and the folder of the case")
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return 2, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(directory)
	return play(&Play{Record: record, Root: os.Args[1], Directory: directory, Trouble: os.Getenv("TROUBLE") != "0"})
}
