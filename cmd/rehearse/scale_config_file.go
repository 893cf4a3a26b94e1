package main

import (
	"fmt"
	"math/rand/v2"
	"os"
)

// configSize is how many entries a configuration has.
type configSize struct {
	routes, tenants int
}

func (t configSize) String() string { return fmt.Sprintf("%d routes, %d tenants", t.routes, t.tenants) }

// The design size of the configuration, and how often it changes.
const (
	designRoutes           = 76_000
	designTenants          = 1_300_000
	designChangesPerSecond = 1.04
)

// What control may take on each app server: of a core, of memory, and of the network a second.
const (
	budgetCore           = 0.036
	budgetBytes          = 128 << 20
	budgetBytesPerSecond = 20_000
	budgetAddedSeconds   = 0.0057
)

// configFile is the file that a program of the scale run is given.
type configFile struct {
	listen, kernel, roster string
	memoryMB, sockets      int
	size                   configSize
	generation             int // a higher one is the same file with one entry changed
	seed                   uint64
}

// routeName is the method that a route stands for.
func routeName(route int) string { return fmt.Sprintf("service-%05d/Method%06d", route/6, route) }

// text renders the file. Idle connections are kept, as keepaliveMaxS is 0: else the program asks them to leave. A route is an entry of settings.profiles, a tenant one of settings.accounts, with a name that the
// program passes over: it tells tenants apart by their place.
func (c configFile) text() []byte {
	chance := rand.New(rand.NewPCG(c.seed, uint64(c.generation)))
	out := make([]byte, 0, 4096+c.size.routes*130+c.size.tenants*50)
	out = fmt.Appendf(out, `{"name":"scaled","listen":%q,"kernel":%q,"roster":%q,"stop_ms":1000,`, c.listen, c.kernel, c.roster)
	out = fmt.Appendf(out, `"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":{`, c.memoryMB, c.sockets)
	out = append(out, `"domain":{"below":"none","nCores":64,"memoryKb":64000,"runFactor":4,"entryKb":1,"keepaliveMaxS":0,`+
		`"callers":20,"preemption":"discard","signal":"allowance","ownStats":[]},`...)
	out = append(out, `"rules":{"overloadFactor":5,"stopSendingWithinS":0.2},"ceilings":{"retryAfter":false},"profiles":[`...)
	changedRoute, changedTenant := -1, -1
	if c.size.tenants > 0 {
		changedTenant = chance.IntN(c.size.tenants)
	} else {
		changedRoute = chance.IntN(c.size.routes)
	}
	for route := range c.size.routes {
		deadline := 2
		if route == changedRoute {
			deadline = 3 + c.generation%1000
		}
		out = fmt.Appendf(out, `{"name":%q,"idempotency":"retryable","onTimeS":0.25,"deadlineS":%d,"worth":0.5},`,
			routeName(route), deadline)
	}
	out = append(out[:len(out)-1], `],"accounts":[`...)
	for tenant := range c.size.tenants {
		quota := 25
		if tenant == changedTenant {
			quota = 100 + c.generation
		}
		out = fmt.Appendf(out, `{"name":"tenant-%08d","quotaRps":%d},`, tenant, quota)
	}
	if c.size.tenants > 0 {
		out = out[:len(out)-1]
	}
	return append(out, `]}}`...)
}

// write replaces a file by this configuration at once, and gives its size in bytes.
func (c configFile) write(path string) (int, error) {
	text := c.text()
	fresh := path + ".new"
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return 0, err
	}
	return len(text), os.Rename(fresh, path)
}
