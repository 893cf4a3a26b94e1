package rig

import (
	"encoding/json"
	"fmt"
	"time"
)

// maxNotices is how many notices are kept, as the protocol defines it.
const maxNotices = 4000

// sendNotice sends the next notice, preceded by a DMESG with the probability RemarkShare.
func (k *Kernel) sendNotice(notice func(pos int) string) {
	if k.rng.Float64() < k.faults.Load().RemarkShare {
		k.sendNumbered(dmesgNotice("nothing to be said"))
	}
	k.sendNumbered(notice)
}

// dmesgNotice returns a function that formats a DMESG with its number.
func dmesgNotice(text string) func(pos int) string {
	encodedText, _ := json.Marshal(text)
	return func(pos int) string { return fmt.Sprintf(`{"action":"DMESG","pos":%d,"code":%s}`, pos, encodedText) }
}

// sendNumbered stores a notice under the next number and sends it, with the faults of the link.
func (k *Kernel) sendNumbered(notice func(pos int) string) {
	line := notice(len(k.notices) + 1)
	k.notices = append(k.notices, line)
	if expired := len(k.notices) - maxNotices; expired > 0 {
		k.notices[expired-1] = ""
	}
	if k.breakInNextNotice && k.link != nil {
		k.breakInNextNotice = false
		k.link.send([]byte(line)[:1+k.rng.IntN(len(line)-1)], true)
		k.link = nil // later notices are sent on the next link
		return
	}
	k.sendLine(line)
	if k.rng.Float64() < k.faults.Load().DuplicateShare {
		k.sendLine(line)
	}
}

// sendLine queues a line on the link, if there is one.
func (k *Kernel) sendLine(line string) {
	if k.link != nil {
		k.link.send([]byte(line+"\n"), false)
	}
}

// SetLinkFaults sets the faults of the present link and of all later ones.
func (k *Kernel) SetLinkFaults(faults LinkFaults) { k.faults.Store(&faults) }

// SendRemark sends a DMESG with a text.
func (k *Kernel) SendRemark(text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sendNumbered(dmesgNotice(text))
}

// BreakLink closes the link. Notices in transit may be lost and are sent again on the next link.
func (k *Kernel) BreakLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropLink()
}

// ResetLink resets the link.
func (k *Kernel) ResetLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != nil {
		k.link.reset()
		k.link = nil
	}
}

// BreakLinkInNotice breaks the link in the middle of the next notice.
func (k *Kernel) BreakLinkInNotice() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakInNextNotice = true
}

// BreakLinkLosingCommands breaks the link after a delay and drops all commands that arrive on it until then.
func (k *Kernel) BreakLinkLosingCommands(delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	link := k.link
	if link == nil {
		return
	}
	link.dropsCommands = true
	time.AfterFunc(delay, func() { k.closeLink(link) })
}

// closeLink closes a link; it has no effect on a later one.
func (k *Kernel) closeLink(link *kernelLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	link.close()
	if k.link == link {
		k.link = nil
	}
}
