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

// startWatching begins to follow the file and the resolver. A file that cannot be read at the start is an error, as a wrong
// path would be noticed by nobody.
func (c *Client) startWatching() error {
	if c.file != "" {
		names, err := readList(c.file)
		if err != nil {
			return err
		}
		w, err := fsnotify.NewWatcher()
		if err != nil {
			return fmt.Errorf("client: watching %s: %w", c.file, err)
		}
		// The folder is watched, as a list is best replaced whole by renaming.
		if err := w.Add(filepath.Dir(c.file)); err != nil {
			w.Close()
			return fmt.Errorf("client: watching %s: %w", c.file, err)
		}
		c.servers = append(c.servers, names...)
		c.group.Go(func() { c.follow(w) })
	}
	if c.resolve != nil {
		c.group.Go(c.pollResolver)
	}
	return nil
}

// fileSettleTime is the wait after a change, as a file that is written in place changes several times.
const fileSettleTime = 50 * time.Millisecond

func (c *Client) follow(w *fsnotify.Watcher) {
	defer w.Close()
	later := time.NewTimer(time.Hour)
	defer later.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case e, ok := <-w.Events:
			if !ok {
				return
			}
			if filepath.Base(e.Name) == filepath.Base(c.file) {
				later.Reset(fileSettleTime)
			}
		case err := <-w.Errors:
			c.log.Warn("watching the list of app servers", zap.Error(err))
			later.Reset(fileSettleTime)
		case <-later.C:
			names, err := readList(c.file)
			c.setServers(names, err)
		}
	}
}

// pollResolver calls the embedder's resolver.
func (c *Client) pollResolver() {
	every := time.NewTicker(c.every)
	defer every.Stop()
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
		case <-every.C:
		}
	}
}

// setServers replaces the list of app servers; a faulty or an empty list leaves the last one.
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
	c.run()
}

// readList reads an address a line.
func readList(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	defer f.Close()
	var names []string
	in := bufio.NewScanner(f)
	for line := 1; in.Scan(); line++ {
		text, _, _ := strings.Cut(in.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if err := checkAddress(text); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		names = append(names, text)
	}
	return names, in.Err()
}
