package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// nodeProc is one process of the system, started with the command of the deploy file.
type nodeProc struct {
	name, zone, ip string
	front, ready   string
	path           string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// fleetOf holds the processes of the system and what their settings have in common.
type fleetOf struct {
	w        *world
	root     string
	ports    map[string]int
	nodes    []*nodeProc
	platform string
}

// zones of the stand-in deployment, named as on the pages.
var zones = []string{"port-louis", "curepipe", "mahebourg"}

const region = "mu-island"

// newFleet prepares one node in each of the given zones. Each node has a loopback address of its own, so that ports may
// be the same on all of them.
func newFleet(w *world, platform string, nodeZones []string) (*fleetOf, error) {
	root, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil {
		return nil, err
	}
	f := &fleetOf{w: w, root: root, platform: platform, ports: make(map[string]int)}
	net2, base := 16+rand.IntN(200), 20000+rand.IntN(8000)
	for i, z := range nodeZones {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, 1+rand.IntN(250), i+1)
		f.nodes = append(f.nodes, &nodeProc{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: ip})
	}
	for _, key := range []string{"front", "ready", "control", "directory", "peer"} {
		for f.ports[key] = 0; f.ports[key] == 0; {
			base += 1 + rand.IntN(20)
			if f.free(base) {
				f.ports[key] = base
			}
		}
	}
	for i, n := range f.nodes {
		n.front = n.ip + ":" + strconv.Itoa(f.ports["front"])
		n.ready = n.ip + ":" + strconv.Itoa(f.ports["ready"])
		n.path = filepath.Join(w.dir, "settings-"+strconv.Itoa(i+1)+".json")
	}
	return f, nil
}

func (f *fleetOf) free(port int) bool {
	for _, n := range f.nodes {
		l, err := net.Listen("tcp", n.ip+":"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// settings fills in the project's template as the platform does.
func (f *fleetOf) settings(n *nodeProc, first bool) (string, error) {
	b, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.json"))
	if err != nil {
		return "", err
	}
	at := func(key string) string { return n.ip + ":" + strconv.Itoa(f.ports[key]) }
	var seeds []string
	for _, x := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, strconv.Quote(x.ip+":"+strconv.Itoa(f.ports["control"])))
	}
	text := strings.NewReplacer(
		"{{node-name|json}}", strconv.Quote(n.name), "{{zone|json}}", strconv.Quote(n.zone),
		"{{region|json}}", strconv.Quote(region),
		"{{bind-addresses.front|json}}", strconv.Quote(at("front")),
		"{{bind-addresses.control|json}}", strconv.Quote(at("control")),
		"{{bind-addresses.directory|json}}", strconv.Quote(at("directory")),
		"{{bind-addresses.ready|json}}", strconv.Quote(at("ready")),
		"{{ip}}", n.ip, "{{internal-port-range.0}}", strconv.Itoa(f.ports["peer"]),
		"{{platform.address}}", f.platform,
		"{{#seeds}}{{.|json}}{{,}}{{/seeds}}", strings.Join(seeds, ","),
		"{{bootstrap|json}}", strconv.FormatBool(first),
		"{{limits.cpu-share}}", "0.4", "{{limits.link-mbps}}", "1000.0",
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "58",
		"{{bounds.budget-window-s}}", "10", "{{bounds.cold-overshoot}}", "1.5", "{{bounds.cold-slack}}", "5",
		"{{bounds.config-apply-ms}}", "3000", "{{bounds.grace-s}}", "6",
	).Replace(string(b))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has a placeholder that this stand-in does not fill in:\n%s", text)
	}
	return text, nil
}

// start starts the process of a node.
func (f *fleetOf) start(n *nodeProc, first bool) error {
	text, err := f.settings(n, first)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/arbutusthread", "node")
	n.cmd.Dir = f.root
	n.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50", "ARBUTUSTHREAD_CONFIG=" + n.path,
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.exited)
	return nil
}

// signal sends a signal to the process of a node, by its ID.
func (n *nodeProc) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *nodeProc) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// startAll starts all nodes for the first time and waits until each is ready.
func (f *fleetOf) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n, true); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := f.waitReady(n, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleetOf) waitReady(n *nodeProc, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.name, limit)
}

// stopAll kills the processes that are still running and waits for their end.
func (f *fleetOf) stopAll() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.running() {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
}
