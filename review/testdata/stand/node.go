package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the ports that all nodes use, each on its own loopback address.
type Ports struct{ Front, Ready, Control, Directory, Peer int }

// FreePorts returns ports that are free on all the addresses.
func FreePorts(ips []string) (Ports, error) {
	next := 21000 + os.Getpid()%20000
	take := func() (int, error) {
		for range 2000 {
			next++
			free := true
			for _, ip := range ips {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, next))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
			if free {
				return next, nil
			}
		}
		return 0, fmt.Errorf("no free port")
	}
	var p Ports
	for _, x := range []*int{&p.Front, &p.Ready, &p.Control, &p.Directory, &p.Peer} {
		v, err := take()
		if err != nil {
			return p, err
		}
		*x = v
	}
	return p, nil
}

// NodeConfig describes a node process. The fields are those of deploy/settings.json.
type NodeConfig struct {
	Name, IP, Zone, Region string
	Ports                  Ports
	Seeds                  []string
	Store                  *Door
	FirstStart             bool
	// Program is the program of the deploy file, and Folder a temporary folder for settings and logs.
	Program, Folder string
}

// Node is a process of the project.
type Node struct {
	NodeConfig
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	mu      sync.Mutex
	ended   time.Time
	status  string
}

// StartNode writes the settings of a node and starts its process as deploy/system.toml tells.
func StartNode(c NodeConfig) (*Node, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", c.IP, port) }
	seeds := make([]string, 0, len(c.Seeds))
	for _, ip := range c.Seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, c.Ports.Control))
	}
	b, err := json.MarshalIndent(map[string]any{
		"Name": c.Name, "FailureDomain": c.Zone, "Region": c.Region,
		"CallerAddress": at(c.Ports.Front), "PeerAddress": at(c.Ports.Peer), "OpsAddress": at(c.Ports.Control),
		"DirectoryAddress": at(c.Ports.Directory), "ReadyAddress": at(c.Ports.Ready),
		"Platform": "http://" + c.Store.Address, "PlatformForm": "Store",
		"FleetKeys":  []string{"6172627574757374687265616420666c656574206b6579206f66207468652064"},
		"Seeds":      seeds,
		"FirstStart": c.FirstStart,
		"Capacity":   map[string]any{"Cores": 0.4, "LinkMbps": 1000.0},
		"Bounds": map[string]any{
			"RetryRatio": 0.2, "RetrySlack": 58, "RetryWindow": "10s", "ColdOvershoot": 1.5, "ColdSlack": 5,
			"ApplyTime": "3000ms", "StopTime": "6s",
		},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Folder, c.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(c.Folder, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	n := &Node{NodeConfig: c, log: log, done: make(chan struct{})}
	n.command = exec.Command(c.Program, "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSTHREAD_CONFIG=" + path, "GOGC=50"}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.command.Wait()
		n.mu.Lock()
		n.ended, n.status = time.Now(), n.command.ProcessState.String()
		n.mu.Unlock()
		close(n.done)
	}()
	return n, nil
}

// Front returns the address for callers.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, n.Ports.Front) }

// Directory returns the address of the directory.
func (n *Node) Directory() string { return fmt.Sprintf("%s:%d", n.IP, n.Ports.Directory) }

// Pid returns the ID of the process.
func (n *Node) Pid() int { return n.command.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// Ended returns when and how the process has ended, and false while it runs.
func (n *Node) Ended() (time.Time, string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended, n.status, !n.ended.IsZero()
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	<-n.done
	_ = n.log.Close()
}

// MemoryMB returns the resident memory of the process in units of 1,048,576 bytes, 0 if it is not known.
func (n *Node) MemoryMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// LogTail returns the lines of the node's log that contain one of the words, at most limit.
func (n *Node) LogTail(limit int, words ...string) []string {
	b, err := os.ReadFile(filepath.Join(n.Folder, n.Name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(b), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) && len(lines) < limit {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// WaitReady waits until the node is ready, and reports false if it is not by the time limit.
func (n *Node) WaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", n.IP, n.Ports.Ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
