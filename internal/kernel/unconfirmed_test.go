package kernel

import (
	"fmt"
	"time"
)

// Tests of unconfirmed runs: those whose end may have been lost with a connection or with notices.

// The connection ends after a run that must not run twice was written, so that the kernel may have read its
// command. It is not sent again, and its end arrives on the next connection. A run that was never written, and one
// that may run twice, are sent.
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

// As in Example_once, but the command was lost: no end arrives, and the run ends as Sent after a timeout.
func Example_onceCommandLost() {
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

// Lost notices may include the end of a run that must not run twice and whose command may not have been read: it
// is not sent again.
func Example_onceNoticesLost() {
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

// An unconfirmed run ends and its uid is used by another run: the timeout of the first does not end the second.
func Example_unconfirmedUIDReused() {
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
	time.Sleep(200 * time.Millisecond) // past the timeout of the first run
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

// A notice for a run whose command has not been written yet belongs to an earlier run with the same uid: its
// result is not given to the later one.
func Example_endOfEarlierRun() {
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

// A command that the kernel read shortly before a disconnect may be lost although a later query was answered.
func Example_lostAfterReply() {
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

// Where runs take milliseconds, the timeout of an unconfirmed run is short: until then it occupies a core, which
// on a machine with one core blocks all other runs.
func Example_unconfirmedTimeoutShort() {
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
	reconnectedAt := time.Now()
	c.printEvents(1)
	fmt.Println(time.Since(reconnectedAt) < maxRunTime/2)
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
