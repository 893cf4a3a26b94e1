package rig

import (
	"encoding/json"
	"fmt"
	"time"
)

// mostNotices are kept: the protocol's figure.
const mostNotices = 4000

// notify gives the next notice, with what is wrong with the link.
func (k *Kernel) notify(notice func(pos int) string) {
	if k.chance.Float64() < k.faults.Load().RemarkShare {
		k.number(remark("nothing to be said"))
	}
	k.number(notice)
}

// remark writes a DMESG, with room for its number.
func remark(text string) func(pos int) string {
	code, _ := json.Marshal(text)
	return func(pos int) string { return fmt.Sprintf(`{"action":"DMESG","pos":%d,"code":%s}`, pos, code) }
}

// number keeps a notice under the next number and says it.
func (k *Kernel) number(notice func(pos int) string) {
	line := notice(len(k.notices) + 1)
	k.notices = append(k.notices, line)
	if old := len(k.notices) - mostNotices; old > 0 {
		k.notices[old-1] = ""
	}
	if k.cutNext && k.link != nil {
		k.cutNext = false
		k.link.send([]byte(line)[:1+k.chance.IntN(len(line)-1)], true)
		k.link = nil // what comes meanwhile is for the next link
		return
	}
	k.say(line)
	if k.chance.Float64() < k.faults.Load().DuplicateShare {
		k.say(line)
	}
}

// say writes a line on the link, if there is one.
func (k *Kernel) say(line string) {
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
	k.number(remark(text))
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
	k.cutNext = true
}

// BreakLinkLosingCommands breaks the link after a time, and none of the commands that come on it until then is carried out.
func (k *Kernel) BreakLinkLosingCommands(last time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	link := k.link
	if link == nil {
		return
	}
	link.deaf = true
	time.AfterFunc(last, func() { k.unlink(link) })
}

// unlink ends a link, if it is not over yet.
func (k *Kernel) unlink(link *kernelLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	link.close()
	if k.link == link {
		k.link = nil
	}
}
