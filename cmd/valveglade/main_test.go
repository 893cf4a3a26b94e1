package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// SIGHUP never ends the process, whatever the file contains; SIGTERM shuts it down. Guards against a SIGHUP with its
// default effect, which would end this test.
func Example_main() {
	dir, err := os.MkdirTemp("", "valveglade")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	kernel, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer kernel.Close()
	file := filepath.Join(dir, "config.json")
	configText := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","kernel":%q,"roster":"127.0.0.1:9","stop_ms":600,
		"settings":{"profiles":[{"name":"look","idempotency":"retryable"}]}}`, kernel.Addr())
	write := func(configText string) {
		if err := os.WriteFile(file, []byte(configText), 0o600); err != nil {
			panic(err)
		}
	}
	write(configText)
	os.Setenv("GW_CONFIG", file)
	os.Args = os.Args[:1]
	ended := make(chan bool)
	go func() {
		main()
		close(ended)
	}()
	kernel.Accept()
	for _, s := range []string{"{", configText, ""} {
		write(s)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case <-ended:
		fmt.Println("ended by SIGHUP")
	default:
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	<-ended
	fmt.Println("ended by SIGTERM")
	// Output:
	// ended by SIGTERM
}
