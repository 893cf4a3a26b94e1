package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// listenApart listens at a loopback address of its own: connections that others make come from 127.0.0.1, so none of them takes the
// port while a listener is closed for a while.
func listenApart() (listener net.Listener, err error) {
	for range addressTries {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if listener, err = net.Listen("tcp", host+":0"); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// addressTries bounds the search for such an address.
const addressTries = 10

// ownAddress is an address and port at which a process may listen, again and again.
func ownAddress() (string, error) {
	listener, err := listenApart()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
