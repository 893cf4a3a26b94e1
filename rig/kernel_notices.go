package rig

import (
	"encoding/json"
	"fmt"
	"time"
)

// maxNotices are kept: the protocol's figure.
const maxNotices = 4000

// sendNotice gives the next notice, with what is wrong with the link.
func (k *Kernel) sendNotice(notice func(pos int) string) {
	if k.random.Float64() < k.faults.Load().RemarkShare {
		k.sendNumbered(dmesgNotice("nothing to be said"))
	}
	k.sendNumbered(notice)
}

// dmesgNotice writes a DMESG, with room for its number.
func dmesgNotice(text string) func(pos int) string {
	encodedText, _ := json.Marshal(text)
	return func(pos int) string { return fmt.Sprintf(`{"action":"DMESG","pos":%d,"code":%s}`, pos, encodedText) }
}

// sendNumbered keeps a notice under the next sendNumbered and says it.
func (k *Kernel) sendNumbered(notice func(pos int) string) {
	line := notice(len(k.notices) + 1)
	k.notices = append(k.notices, line)
	if expired := len(k.notices) - maxNotices; expired > 0 {
		k.notices[expired-1] = ""
	}
	if k.breakInNextNotice && k.link != nil {
		k.breakInNextNotice = false
		k.link.send([]byte(line)[:1+k.random.IntN(len(line)-1)], true)
		k.link = nil // what comes meanwhile is for the next link
		return
	}
	k.sendLine(line)
	if k.random.Float64() < k.faults.Load().DuplicateShare {
		k.sendLine(line)
	}
}

// sendLine writes a line on the link, if there is one.
func (k *Kernel) sendLine(line string) {
	if k.link != nil {
		k.link.send([]byte(line+"\n"), false)
	}
}

// SetLinkFaults changes what is wrong with the link while it goes on, also with the links that follow.
func (k *Kernel) SetLinkFaults(faults LinkFaults) { k.faults.Store(&faults) }

// SendRemark gives a DMESG.
func (k *Kernel) SendRemark(text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sendNumbered(dmesgNotice(text))
}

// BreakLink ends the link now. What is on its way to the app server may be lost, and is said again on the next link.
func (k *Kernel) BreakLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropLink()
}

// ResetLink resets the link now.
func (k *Kernel) ResetLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != nil {
		k.link.reset()
		k.link = nil
	}
}

// BreakLinkInNotice ends the link in the middle of the next notice.
func (k *Kernel) BreakLinkInNotice() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakInNextNotice = true
}

// BreakLinkLosingCommands breaks the link after a time, and none of the commands that come on it until then is carried out.
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

// closeLink ends a link, if it is not over yet.
func (k *Kernel) closeLink(link *kernelLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	link.close()
	if k.link == link {
		k.link = nil
	}
}
