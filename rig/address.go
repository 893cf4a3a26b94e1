package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// listenOnRandomLoopback listens on a free port of a random loopback address. Connections of other processes come from
// 127.0.0.1, so none of them can take the port while the listener is closed temporarily.
func listenOnRandomLoopback() (listener net.Listener, err error) {
	for range maxAddressAttempts {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if listener, err = net.Listen("tcp", host+":0"); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// maxAddressAttempts is the maximum number of addresses that listenOnRandomLoopback tries.
const maxAddressAttempts = 10

// freeLoopbackAddress returns a random loopback address with a free port, on which a process can listen after each restart.
func freeLoopbackAddress() (string, error) {
	listener, err := listenOnRandomLoopback()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
