package rig

import "time"

// oldLinkLifetime is how long links to the old address stay after a move: the protocol's figure.
const oldLinkLifetime = 1500 * time.Millisecond

// Move takes the kernel to a new address: the old one accepts nothing new, and the link to it is closed after a while. Runs and
// notices carry on.
func (k *Kernel) Move() error {
	listener, err := listenOnRandomLoopback()
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	k.listener, k.address = listener, listener.Addr().String()
	go k.serve(listener)
	if old := k.link; old != nil {
		time.AfterFunc(oldLinkLifetime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.link == old {
				k.dropLink()
			}
		})
	}
	return nil
}
