package client

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"
	"go.uber.org/zap"
)

// startWatching starts to watch the file and to poll the resolver. A file that cannot be read at the start is an error,
// as a wrong path would otherwise go unnoticed.
func (c *Client) startWatching() error {
	if c.file != "" {
		names, err := readServerList(c.file)
		if err != nil {
			return err
		}
		watcher, err := fsnotify.NewWatcher()
		if err != nil {
			return fmt.Errorf("client: watching %s: %w", c.file, err)
		}
		// The directory is watched, as the file is best replaced as a whole, by a rename.
		if err := watcher.Add(filepath.Dir(c.file)); err != nil {
			watcher.Close()
			return fmt.Errorf("client: watching %s: %w", c.file, err)
		}
		c.servers = append(c.servers, names...)
		c.goroutines.Go(func() { c.watchFile(watcher) })
	}
	if c.resolve != nil {
		c.goroutines.Go(c.pollResolver)
	}
	return nil
}

// fileSettleTime is the delay between a change of the file and its read, as a file that is written in place changes
// several times.
const fileSettleTime = 50 * time.Millisecond

// watchFile reads the file again after each change, until the client is closed.
func (c *Client) watchFile(watcher *fsnotify.Watcher) {
	defer watcher.Close()
	settled := time.NewTimer(time.Hour)
	defer settled.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case event, ok := <-watcher.Events:
			if !ok {
				return
			}
			if filepath.Base(event.Name) == filepath.Base(c.file) {
				settled.Reset(fileSettleTime)
			}
		case err := <-watcher.Errors:
			c.log.Warn("watching the list of app servers failed", zap.Error(err))
			settled.Reset(fileSettleTime)
		case <-settled.C:
			names, err := readServerList(c.file)
			c.setServers(names, err)
		}
	}
}

// pollResolver calls the resolver function at its interval.
func (c *Client) pollResolver() {
	ticker := time.NewTicker(c.resolveInterval)
	defer ticker.Stop()
	for {
		names, err := c.resolve(c.ctx)
		for _, name := range names {
			if err == nil {
				err = checkAddress(name)
			}
		}
		if c.ctx.Err() == nil {
			c.setServers(names, err)
		}
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setServers replaces the list of app servers. An invalid or empty list leaves the previous one in place.
func (c *Client) setServers(names []string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if err != nil {
		c.log.Warn("list of app servers faulty, the last one stays", zap.Error(err))
		return
	}
	if !c.dispatcher.SetServers(c.clock(), names) {
		c.log.Warn("list of app servers empty, the last one stays")
	}
	c.performActions()
}

// readServerList reads the addresses of app servers from a file with one address a line.
func readServerList(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	defer f.Close()
	var names []string
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if err := checkAddress(text); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		names = append(names, text)
	}
	return names, scanner.Err()
}
