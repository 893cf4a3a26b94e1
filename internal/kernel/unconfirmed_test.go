package kernel

import (
	"fmt"
	"time"
)

// What is in doubt once the link has broken or notices were lost.

// A run that must not run twice, and that the kernel may have read of before the link broke: it ends between the kernel's word
// on the new link and what would be sent again, and to ask for it again would run it again. What has never been written
// goes out, and so does what may run twice.
func Example_once() {
	c := start()
	c.boot()
	c.Run("A", "a", "pay", nil, false)
	c.Run("B", "b", "look", nil, true)
	c.printCommands(2)
	c.conn.Close()
	c.accept()
	c.Run("C", "c", "pay", nil, false)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":20}`)
	c.printEvents(1)
	c.printCommands(3)
	c.printUnexpected()
	c.send(`{"action":"REAP","pos":1,"uid":"a","code":"fine","wall_ms":5,"content":"YQ=="}`,
		`{"action":"REAP","pos":2,"uid":"b","code":"fine","wall_ms":5}`,
		`{"action":"REAP","pos":3,"uid":"c","code":"fine","wall_ms":5}`)
	c.printEvents(3)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"pay","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.02 ago, cold false
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"c","lane":"pay","content":""} <nil>
	// A ended after 0.005: "a", <nil>
	// B ended after 0.005: "", <nil>
	// C ended after 0.005: "", <nil>
	// ended: <nil>
}

// The same run when its command was lost: no end ever comes, and it is let go after a while.
func Example_onceLost() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout = 50 * time.Millisecond })
	c.boot()
	c.Run("A", "a", "pay", nil, false)
	c.printCommands(1)
	c.conn.Close()
	c.boot()
	c.printEvents(1)
	c.printUnexpected()
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"pay","content":""} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// booted 0.01 ago, cold false
	// A ended after 0: "", run end lost (sent)
	// ended: <nil>
}

// Notices are lost, and among them may be the end of a run whose command the kernel may not have read: one that must not run
// twice is not asked for again.
func Example_onceDoubted() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout = 50 * time.Millisecond })
	c.boot()
	c.Run("A", "a", "pay", nil, false)
	c.printCommands(1)
	c.conn.Close()
	c.boot(`{"action":"DMESG","pos":4001,"code":"hm"}`)
	c.printEvents(1)
	c.printUnexpected()
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"pay","content":""} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// booted 0.01 ago, cold false
	// A ended after 0: "", run end lost (sent)
	// ended: <nil>
}

// A run in doubt ends, and its name comes back for another: the doubt is of the first alone.
func Example_doubtOfTheFirst() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout = 100 * time.Millisecond })
	c.boot()
	c.Run("A", "a", "look", nil, true)
	c.printCommands(1)
	go c.Gauges(20 * time.Second)
	c.printCommands(1)
	c.conn.Close()
	c.boot(`{"action":"DMESG","pos":4001,"code":"hm"}`, `{"action":"REAP","pos":4002,"uid":"a","code":"fine","wall_ms":6}`)
	c.printEvents(1)
	c.Run("second A", "a", "look", nil, true)
	c.printCommands(1)
	time.Sleep(200 * time.Millisecond) // the doubt's time is over
	c.send(`{"action":"REAP","pos":4003,"uid":"a","code":"fine","wall_ms":6}`)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// booted 0.01 ago, cold false
	// A ended after 0.006: "", <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// second A ended after 0.006: "", <nil>
	// ended: <nil>
}

// The end of a run whose command has not gone out yet is another's, who had the same name before: its result is not given to
// this one.
func Example_endOfAnother() {
	c := start()
	c.accept()
	c.Run("A", "a", "look", nil, true)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`,
		`{"action":"REAP","pos":1,"uid":"a","code":"fine","wall_ms":5,"content":"AP8="}`)
	c.printEvents(1)
	c.printCommands(2)
	c.send(`{"action":"REAP","pos":2,"uid":"a","code":"fine","wall_ms":6,"content":"YQ=="}`)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// A ended after 0.006: "a", <nil>
	// ended: <nil>
}

// What the kernel has read in the last moments before a break may be lost although it has answered a later question.
func Example_lostAfterAnswer() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout, l.lossWindow = 50*time.Millisecond, 20*time.Second })
	c.boot()
	c.Run("A", "a", "look", nil, true)
	c.Run("B", "b", "pay", nil, false)
	c.printCommands(2)
	go c.Gauges(20 * time.Second)
	c.printCommands(1)
	c.conn.Close()
	c.boot()
	c.printCommands(1)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"pay","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// B ended after 0: "", run end lost (sent)
	// ended: <nil>
}

// Where runs take milliseconds a run in doubt is let go soon: until then it takes a core's place, on a machine
// with one core everybody's.
func Example_doubtShort() {
	c := start()
	c.boot()
	for k := range 400 {
		uid := fmt.Sprint(k)
		c.Run(uid, uid, "look", nil, true)
		c.lines.ReadString('\n')
		c.send(fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":"%s","code":"fine","wall_ms":5}`, k+1, uid))
		<-c.events
	}
	c.Run("A", "a", "pay", nil, false)
	c.printCommands(1)
	c.conn.Close()
	c.boot()
	began := time.Now()
	c.printEvents(1)
	fmt.Println(time.Since(began) < maxRunTime/2)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"pay","content":""} <nil>
	// < {"action":"OPEN","pos":400} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// booted 0.01 ago, cold false
	// A ended after 0: "", run end lost (sent)
	// true
	// ended: <nil>
}
