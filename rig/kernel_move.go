package rig

import "time"

// oldLinkLifetime is how long a link to the old address stays open after a move, as the protocol defines it.
const oldLinkLifetime = 1500 * time.Millisecond

// Move moves the kernel to a new address. The old address accepts no new connections, and the link to it is closed
// after oldLinkLifetime. Runs and notices are kept.
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
