package rig

import (
	"fmt"
	"net"
	"time"
)

// TakeDown ends the link and refuses connections until Return. Runs go on, and their notices are kept.
func (k *Kernel) TakeDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	k.dropLink()
}

// BringUp takes connections again at the same address.
func (k *Kernel) BringUp() error {
	listener, err := net.Listen("tcp", k.Address())
	if err != nil {
		return fmt.Errorf("kernel of %s: %w", k.server, err)
	}
	k.mu.Lock()
	k.listener = listener
	k.mu.Unlock()
	go k.serve(listener)
	return nil
}

// WithholdNotices has links accepted and says nothing on them. Release ends it.
func (k *Kernel) WithholdNotices() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withheld = make(chan struct{})
}

// ReleaseNotices says on every link what was held back by Withhold.
func (k *Kernel) ReleaseNotices() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.withheld)
	k.withheld = nil
}

// LinkedAt returns when the kernel last said BOOTED on a link; the zero time if there is no link.
func (k *Kernel) LinkedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link == nil {
		return time.Time{}
	}
	return k.linkedAt
}

// dropLink is called under the lock.
func (k *Kernel) dropLink() {
	if k.link != nil {
		k.link.close()
		k.link = nil
	}
}

// awaitRelease waits while links are withheld.
func (k *Kernel) awaitRelease() {
	k.mu.Lock()
	withheld := k.withheld
	k.mu.Unlock()
	if withheld != nil {
		<-withheld
	}
}
