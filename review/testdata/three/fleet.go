package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The machines of the deployment souches-mu.
var machines = []struct {
	zone  string
	count int
}{{"port-louis", 4}, {"curepipe", 3}, {"mahebourg", 2}}

const (
	memoryMB    = 284
	descriptors = 4100
)

// node is a process of the system, started with the commands of the deploy file.
type node struct {
	name, zone, ip   string
	front, directory string
	ready, control   string
	peer             string
	settings         string
	log              string
	process          *exec.Cmd
	ended            chan struct{}
}

// ports are the same on all machines of a day.
type ports struct{ front, ready, control, directory, internal int }

// freePorts returns ports that are free at all the given addresses.
func freePorts(ips []string) ports {
	next := 21000 + os.Getpid()%10000
	find := func() int {
	search:
		for ; ; next++ {
			for _, ip := range ips {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(next)))
				if err != nil {
					continue search
				}
				l.Close()
			}
			next++
			return next - 1
		}
	}
	return ports{find(), find(), find(), find(), find()}
}

// startNodes starts the machines of the deployment, each at a loopback address of its own.
func startNodes(dir, storeAddress string) []*node {
	var nodes []*node
	var ips []string
	for _, m := range machines {
		for i := range m.count {
			ip := fmt.Sprintf("127.46.%d.%d", os.Getpid()%200+1, len(nodes)+1)
			nodes = append(nodes, &node{name: fmt.Sprintf("front-%s-%d", m.zone, i+1), zone: m.zone, ip: ip})
			ips = append(ips, ip)
		}
	}
	p := freePorts(ips)
	for _, n := range nodes {
		at := func(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }
		n.front, n.ready, n.control, n.directory = at(p.front), at(p.ready), at(p.control), at(p.directory)
		n.peer = at(p.internal)
	}
	seeds := []string{nodes[0].control, nodes[4].control, nodes[7].control}
	for _, n := range nodes {
		n.settings = filepath.Join(dir, n.name+".json")
		n.log = filepath.Join(dir, n.name+".log")
		must(os.WriteFile(n.settings, []byte(fillTemplate(n, seeds, storeAddress, p, true)), 0o600))
	}
	for _, n := range nodes {
		n.start()
	}
	for _, n := range nodes {
		n.awaitReady()
	}
	return nodes
}

// start runs the command of the deploy file with its environment.
func (n *node) start() {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer out.Close()
	c := exec.Command("target/arbutusthread", "node")
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSTHREAD_CONFIG=" + n.settings,
		"GOGC=50", "ARBUTUSTHREAD_MEMORY_MB=" + strconv.Itoa(memoryMB), "ARBUTUSTHREAD_DESCRIPTORS=" + strconv.Itoa(descriptors),
	}
	c.Stdout, c.Stderr = out, out
	must(c.Start())
	n.process, n.ended = c, make(chan struct{})
	ended := n.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
}

func (n *node) isRunning() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

func (n *node) awaitReady() {
	last := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && n.isRunning(); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			last = err.Error()
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
		last = r.Status
	}
	b, _ := os.ReadFile(n.log)
	giveUp("%s is not ready: %s; its log ends with %s", n.name, last, b[max(0, len(b)-300):])
}

func (n *node) signal(s syscall.Signal) { must(n.process.Process.Signal(s)) }

// clearBootstrap makes the settings those of a later start.
func (n *node) clearBootstrap() {
	b, err := os.ReadFile(n.settings)
	must(err)
	text := strings.Replace(string(b), `"FirstStart": true`, `"FirstStart": false`, 1)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
}

var placeholder = regexp.MustCompile(`\{\{([#^/]?)([^}|]+?)(\|json)?\}\}`)

// fillTemplate fills in deploy/settings.json in the way that DEPLOY.md describes, as far as the template needs it.
func fillTemplate(n *node, seeds []string, storeAddress string, p ports, bootstrap bool) string {
	b, err := os.ReadFile("deploy/settings.json")
	must(err)
	values := map[string]any{
		"node-name": n.name, "zone": n.zone, "region": "mu-island", "ip": n.ip, "bootstrap": bootstrap,
		"bind-addresses.front": n.front, "bind-addresses.ready": n.ready, "bind-addresses.control": n.control,
		"bind-addresses.directory": n.directory, "internal-port-range.0": p.internal, "platform.address": storeAddress,
		"limits.cpu-share": 0.4, "limits.link-mbps": 1000.0,
		"bounds.retry-budget-ratio": 0.2, "bounds.retry-budget-slack": 58, "bounds.budget-window-s": 10,
		"bounds.cold-overshoot": 1.5, "bounds.cold-slack": 5, "bounds.config-apply-ms": 3000, "bounds.grace-s": 6,
	}
	text := string(b)
	if i := strings.Index(text, "{{#seeds}}"); i >= 0 {
		j := strings.Index(text, "{{/seeds}}")
		quoted, err := json.Marshal(seeds)
		must(err)
		text = text[:i] + strings.Trim(string(quoted), "[]") + text[j+len("{{/seeds}}"):]
	}
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := values[m[2]]
		if m[1] != "" || !ok {
			giveUp("the template has %s", s)
		}
		if m[3] != "" {
			j, err := json.Marshal(v)
			must(err)
			return string(j)
		}
		return fmt.Sprint(v)
	})
}
