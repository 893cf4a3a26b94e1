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

// memberlistCommand returns the sub-command that is the baseline of the view experiments: the gossip library alone, with its own
// transport and the same probe interval. It logs its members to standard error in the format of the program's view.
func memberlistCommand() *cobra.Command {
	var name, listen, advertise, join string
	var probe time.Duration
	command := &cobra.Command{Use: "bare", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		cfg := memberlist.DefaultLANConfig()
		cfg.Name, cfg.ProbeInterval, cfg.ProbeTimeout, cfg.Logger = name, probe, probe/2, log.New(io.Discard, "", 0)
		for _, binding := range []struct {
			text string
			host *string
			port *int
		}{{listen, &cfg.BindAddr, &cfg.BindPort}, {advertise, &cfg.AdvertiseAddr, &cfg.AdvertisePort}} {
			host, port, err := net.SplitHostPort(binding.text)
			if err != nil {
				return err
			}
			*binding.host = host
			if *binding.port, err = strconv.Atoi(port); err != nil {
				return err
			}
		}
		transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{cfg.BindAddr},
			BindPort: cfg.BindPort, Logger: cfg.Logger})
		if err != nil {
			return err
		}
		cfg.Transport = &localAddressTransport{transport, &net.TCPAddr{IP: net.ParseIP(cfg.BindAddr)}}
		members, err := memberlist.Create(cfg)
		if err != nil {
			return err
		}
		for joined := false; ; time.Sleep(100 * time.Millisecond) {
			if !joined {
				nodes, _ := members.Join(strings.Split(join, ","))
				joined = nodes > 1 || members.NumMembers() > 1
			}
			printMembers(members.Members())
		}
	}}
	command.Flags().StringVar(&name, "name", "", "")
	command.Flags().StringVar(&listen, "listen", "", "")
	command.Flags().StringVar(&advertise, "advertise", "", "")
	command.Flags().StringVar(&join, "join", "", "")
	command.Flags().DurationVar(&probe, "probe", 400*time.Millisecond, "")
	return command
}

// localAddressTransport is the library's transport, but opens connections from its listening address.
type localAddressTransport struct {
	*memberlist.NetTransport
	localAddress *net.TCPAddr
}

// DialTimeout connects to address from the listening address.
func (t *localAddressTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: t.localAddress}).Dial("tcp", address)
}

// DialAddressTimeout connects to a member from the listening address.
func (t *localAddressTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// lastMembers holds the member names that were printed last.
var lastMembers string

// printMembers logs the members to standard error in the format of the program's view, if they have changed.
func printMembers(members []*memberlist.Node) {
	var names []string
	for _, n := range members {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	allNames := strings.Join(names, " ")
	if allNames == lastMembers {
		return
	}
	lastMembers = allNames
	hash := fnv.New64a()
	hash.Write([]byte(allNames))
	json.NewEncoder(os.Stderr).Encode(map[string]any{"msg": "view", "digest": fmt.Sprintf("%016x", hash.Sum64()),
		"members": len(names), "certainty": "", "changes": []string{}})
}
