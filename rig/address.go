package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// listenOnRandomLoopback listens at a loopback address of its own: connections that others make come from 127.0.0.1, so none of them takes the
// port while a listener is closed for a while.
func listenOnRandomLoopback() (listener net.Listener, err error) {
	for range maxAddressAttempts {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if listener, err = net.Listen("tcp", host+":0"); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// maxAddressAttempts bounds the search for such an address.
const maxAddressAttempts = 10

// freeLoopbackAddress is an address and port at which a process may listen, again and again.
func freeLoopbackAddress() (string, error) {
	listener, err := listenOnRandomLoopback()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
