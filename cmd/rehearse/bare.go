package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/spf13/cobra"
)

// bareCommand is the baseline of the fleet's view: the gossip library alone, with its own transport, at the same probe
// interval. It tells its members on standard error as the program tells its view.
func memberlistCommand() *cobra.Command {
	var name, listen, advertise, join string
	var probe time.Duration
	c := &cobra.Command{Use: "bare", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		c := memberlist.DefaultLANConfig()
		c.Name, c.ProbeInterval, c.ProbeTimeout, c.Logger = name, probe, probe/2, log.New(io.Discard, "", 0)
		for _, a := range []struct {
			text string
			host *string
			port *int
		}{{listen, &c.BindAddr, &c.BindPort}, {advertise, &c.AdvertiseAddr, &c.AdvertisePort}} {
			host, port, err := net.SplitHostPort(a.text)
			if err != nil {
				return err
			}
			*a.host = host
			if *a.port, err = strconv.Atoi(port); err != nil {
				return err
			}
		}
		own, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort,
			Logger: c.Logger})
		if err != nil {
			return err
		}
		c.Transport = &localAddressTransport{own, &net.TCPAddr{IP: net.ParseIP(c.BindAddr)}}
		list, err := memberlist.Create(c)
		if err != nil {
			return err
		}
		for met := false; ; time.Sleep(100 * time.Millisecond) {
			if !met {
				n, _ := list.Join(strings.Split(join, ","))
				met = n > 1 || list.NumMembers() > 1
			}
			printMembers(list.Members())
		}
	}}
	c.Flags().StringVar(&name, "name", "", "")
	c.Flags().StringVar(&listen, "listen", "", "")
	c.Flags().StringVar(&advertise, "advertise", "", "")
	c.Flags().StringVar(&join, "join", "", "")
	c.Flags().DurationVar(&probe, "probe", 400*time.Millisecond, "")
	return c
}

// bareTransport is the library's own, which speaks from the address where it listens.
type localAddressTransport struct {
	*memberlist.NetTransport
	from *net.TCPAddr
}

func (t *localAddressTransport) DialTimeout(address string, within time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: within, LocalAddr: t.from}).Dial("tcp", address)
}

func (t *localAddressTransport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, within)
}

var lastMembers string

func printMembers(members []*memberlist.Node) {
	var names []string
	for _, n := range members {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	all := strings.Join(names, " ")
	if all == lastMembers {
		return
	}
	lastMembers = all
	h := fnv.New64a()
	h.Write([]byte(all))
	json.NewEncoder(os.Stderr).Encode(map[string]any{"msg": "view", "digest": fmt.Sprintf("%016x", h.Sum64()),
		"members": len(names), "certainty": "", "changes": []string{}})
}
