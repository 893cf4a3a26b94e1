package main

import (
	"fmt"
	"math/rand/v2"
	"os"
)

// configSize holds the numbers of entries of a configuration.
type configSize struct {
	routes, tenants int
}

func (s configSize) String() string { return fmt.Sprintf("%d routes, %d tenants", s.routes, s.tenants) }

// The design size of the configuration and the rate of its changes.
const (
	designRoutes           = 76_000
	designTenants          = 1_300_000
	designChangesPerSecond = 1.04
)

// What valveglade may use on each app server.
const (
	budgetCore           = 0.036     // of a core
	budgetBytes          = 128 << 20 // of memory
	budgetBytesPerSecond = 20_000    // of network traffic
	budgetAddedSeconds   = 0.0057    // added to an RPC at the 99th percentile
)

// configFile describes the configuration file of a program of the scale experiment.
type configFile struct {
	listen, kernel, roster string
	memoryMB, sockets      int
	size                   configSize
	generation             int // selects which entry differs from the usual value, and that value
	seed                   uint64
}

// routeName returns the name of the method of a route. A service has six routes.
func routeName(route int) string { return fmt.Sprintf("service-%05d/Method%06d", route/6, route) }

// text renders the file. keepaliveMaxS is 0 so that idle connections stay open; otherwise the program asks their clients to
// disconnect. A route is an entry of settings.profiles, a tenant one of settings.accounts. The program ignores the names of
// tenants and identifies a tenant by its position.
func (c configFile) text() []byte {
	random := rand.New(rand.NewPCG(c.seed, uint64(c.generation)))
	out := make([]byte, 0, 4096+c.size.routes*130+c.size.tenants*50)
	out = fmt.Appendf(out, `{"name":"scaled","listen":%q,"kernel":%q,"roster":%q,"stop_ms":1000,`, c.listen, c.kernel, c.roster)
	out = fmt.Appendf(out, `"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":{`, c.memoryMB, c.sockets)
	out = append(out, `"domain":{"below":"none","nCores":64,"memoryKb":64000,"runFactor":4,"entryKb":1,"keepaliveMaxS":0,`+
		`"callers":20,"preemption":"discard","signal":"allowance","ownStats":[]},`...)
	out = append(out, `"rules":{"overloadFactor":5,"stopSendingWithinS":0.2},"ceilings":{"retryAfter":false},"profiles":[`...)
	changedRoute, changedTenant := -1, -1
	if c.size.tenants > 0 {
		changedTenant = random.IntN(c.size.tenants)
	} else {
		changedRoute = random.IntN(c.size.routes)
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

// write atomically replaces the file at path with the rendered configuration and returns its size in bytes.
func (c configFile) write(path string) (int, error) {
	text := c.text()
	newPath := path + ".new"
	if err := os.WriteFile(newPath, text, 0o600); err != nil {
		return 0, err
	}
	return len(text), os.Rename(newPath, path)
}
