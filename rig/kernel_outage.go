package rig

import (
	"fmt"
	"net"
	"time"
)

// TakeDown closes the link and refuses connections until BringUp. Runs continue and their notices are kept.
func (k *Kernel) TakeDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	k.dropLink()
}

// BringUp accepts connections again at the same address.
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

// WithholdNotices makes the kernel accept links without sending anything on them until ReleaseNotices.
func (k *Kernel) WithholdNotices() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withheld = make(chan struct{})
}

// ReleaseNotices sends on every link the notices that WithholdNotices held back.
func (k *Kernel) ReleaseNotices() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.withheld)
	k.withheld = nil
}

// LinkedAt returns when the kernel last sent BOOTED on a link, or the zero time if there is no link.
func (k *Kernel) LinkedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link == nil {
		return time.Time{}
	}
	return k.linkedAt
}

// dropLink closes the link, if there is one. The caller holds k.mu.
func (k *Kernel) dropLink() {
	if k.link != nil {
		k.link.close()
		k.link = nil
	}
}

// awaitRelease blocks while notices are withheld.
func (k *Kernel) awaitRelease() {
	k.mu.Lock()
	withheld := k.withheld
	k.mu.Unlock()
	if withheld != nil {
		<-withheld
	}
}
