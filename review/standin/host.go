//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A host is one machine of the system with its process.
type host struct {
	name, zone, ip                   string
	front, ready, control, directory string
	settings, log                    string
	memoryMB                         int
	// collector reads the process's output; nil if it goes to a file.
	collector *collector

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9|]+)\}\}`)
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)

// render fills in the template of the deploy file.
func render(template string, values map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if _, ok := values[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(m string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(m, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			cannotRun("template: no value for %s", name)
		}
		if isJSON {
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

// newHosts prepares count hosts in three zones, each at a loopback address of its own.
func (t *trial) newHosts(count int, values map[string]any) {
	template, err := os.ReadFile("deploy/host.jsonc.tmpl")
	if err != nil {
		cannotRun("template: %v", err)
	}
	var seeds []string
	for i := range count {
		h := &host{name: fmt.Sprintf("frontend-%d", i+1), zone: fmt.Sprintf("z%d", i%3), ip: t.address(10 + i)}
		h.front, h.ready, h.control, h.directory = h.ip+":"+t.port(0), h.ip+":"+t.port(1), h.ip+":"+t.port(2), h.ip+":"+t.port(3)
		h.settings, h.log = filepath.Join(t.dir, h.name+".jsonc"), filepath.Join(t.dir, h.name+".log")
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
		t.hosts = append(t.hosts, h)
	}
	for _, h := range t.hosts {
		v := map[string]any{
			"node_name": h.name, "zone": h.zone, "listen.front": h.front, "listen.ready_addr": h.ready, "listen.directory": h.directory,
			"listen.control": h.control, "ip": h.ip, "seeds": seeds, "platform.address": t.store.address, "bounds.grace_s": 6,
			"bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 54, "bounds.retry_window_s": 10, "bounds.ttl_max_s": 5,
			"limits.cpu_share": 0.4, "limits.cores": 1, "limits.link_mbps": 1000.0, "limits.memory_mb": 284,
		}
		for name, value := range values {
			v[name] = value
		}
		h.memoryMB = v["limits.memory_mb"].(int)
		text := strings.ReplaceAll(render(string(template), v), ":9464", ":"+t.port(4))
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
	}
}

// start starts the process of a host with the command of the deploy file.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer log.Close()
	p := exec.Command("target/foxtail-platform")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILSHELF_BOOT=" + h.settings}
	p.Stdout, p.Stderr = log, log
	if h.collector != nil {
		reader, writer, err := os.Pipe()
		if err != nil {
			cannotRun("pipe: %v", err)
		}
		defer writer.Close()
		p.Stdout, p.Stderr = writer, writer
		go h.collector.run(reader, h.log)
	}
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	exited := make(chan struct{})
	h.process, h.exited = p, exited
	go func() {
		_ = p.Wait()
		close(exited)
	}()
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Process.Pid
}

// signal sends a signal to the process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if h.exited != nil {
		<-h.exited
	}
}

// residentMB returns the resident memory of the process in MB (as the settings count them).
func (h *host) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// isReady asks the host's ready address.
func (h *host) isReady() bool {
	conn, err := net.DialTimeout("tcp", h.ready, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	fmt.Fprintf(conn, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line := make([]byte, 12)
	_, err = conn.Read(line)
	return err == nil && string(line) == "HTTP/1.1 200"
}
