package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// listenOnRandomLoopback listens on a random loopback address. Connections of other processes come from 127.0.0.1, so
// none of them can take the port while a listener is closed for a while.
func listenOnRandomLoopback() (listener net.Listener, err error) {
	for range maxAddressAttempts {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if listener, err = net.Listen("tcp", host+":0"); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// maxAddressAttempts limits the search for a free address.
const maxAddressAttempts = 10

// freeLoopbackAddress returns a random loopback address and port on which a process can listen repeatedly.
func freeLoopbackAddress() (string, error) {
	listener, err := listenOnRandomLoopback()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
