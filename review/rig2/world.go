// Package rig2 runs a small deployment for the cases of a review: the programs of the deploy file
// as processes on loopback addresses, and stand-ins for backend servers, operators and clients.
package rig2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Ports of all machines.
const (
	FrontPort     = 8749
	ReadyPort     = 8741
	ControlPort   = 8745
	DirectoryPort = 8747
	innerPort     = 7700
)

// HeartbeatInterval is the interval of a server's heartbeats.
const HeartbeatInterval = 1200 * time.Millisecond

// World is a deployment.
type World struct {
	// Trouble is false if the disruption is left out.
	Trouble bool
	Cores   []*Machine
	Fronts  []*Machine

	root, dir, prefix string
	started           time.Time
	mu                sync.Mutex
	record            *os.File
}

// Machine is one of the system's machines.
type Machine struct {
	Name, IP string
	world    *World
	program  string
	log      *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	settings map[string]string
}

// New prepares a deployment. The record goes to record.txt in the folder of the case.
func New(root, folder string) (*World, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, started: time.Now(), record: record}
	for range 100 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", w.prefix+"1:"+fmt.Sprint(ControlPort))
		if err == nil {
			l.Close()
			return w, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// Address returns an address of the deployment's network, number 100 and above for servers.
func (w *World) Address(number, port int) string {
	return fmt.Sprintf("%s%d:%d", w.prefix, number, port)
}

var envLine = regexp.MustCompile(`^([A-Z_]+) = "(.*)"$`)

// deployEnv reads the environment of a role from the deploy file.
func (w *World) deployEnv(role string) (map[string]string, error) {
	content, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	env, inside := make(map[string]string), false
	s := bufio.NewScanner(bytes.NewReader(content))
	for s.Scan() {
		line := strings.TrimSpace(s.Text())
		if strings.HasPrefix(line, "[") {
			inside = line == "[roles."+role+".env]"
		} else if m := envLine.FindStringSubmatch(line); inside && m != nil {
			env[m[1]] = m[2]
		}
	}
	return env, s.Err()
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// Start starts cores and fronts, which take turns in three zones, and waits until the fronts are
// ready under the given configuration.
func (w *World) Start(cores, fronts int, config map[string]any) error {
	var seeds []string
	for i := range cores {
		if len(seeds) < 3 {
			seeds = append(seeds, w.Address(1+i, ControlPort))
		}
	}
	make1 := func(class, program string, i, number int) (*Machine, error) {
		m := &Machine{Name: fmt.Sprintf("%s-%d", class, i+1), IP: fmt.Sprintf("%s%d", w.prefix, number), world: w, program: program}
		dir := filepath.Join(w.dir, m.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		m.settings = map[string]string{
			"node_name": m.Name, "zone": Zone(i), "ip": m.IP, "listen.front": fmt.Sprintf("%s:%d", m.IP, FrontPort), "listen.ready": fmt.Sprintf("%s:%d", m.IP, ReadyPort),
			"listen.control": fmt.Sprintf("%s:%d", m.IP, ControlPort), "listen.directory": fmt.Sprintf("%s:%d", m.IP, DirectoryPort), "inner_ports.0": fmt.Sprint(innerPort),
			"seeds": strings.Join(seeds, ","), "heartbeat_ms": "1200", "bootstrap": "true", "data_dir": dir, "tolerate.machines": "1",
			"contracts":      "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants",
			"bounds.grace_s": "8", "bounds.version_ms": "8000", "bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "56", "bounds.retry_window_s": "10", "bounds.catch_up_s": "4", "bounds.lease_ms": "3000",
			"limits.memory_mb": "280", "limits.max_fds": "4096", "limits.disk_mb": "128",
		}
		var err error
		m.log, err = os.Create(filepath.Join(w.dir, m.Name+".log"))
		return m, err
	}
	for i := range cores {
		m, err := make1("core", "galena-control", i, 1+i)
		if err != nil {
			return err
		}
		w.Cores = append(w.Cores, m)
	}
	for i := range fronts {
		m, err := make1("front", "galena-gateway", i, 50+i)
		if err != nil {
			return err
		}
		w.Fronts = append(w.Fronts, m)
	}
	for _, m := range append(append([]*Machine(nil), w.Cores...), w.Fronts...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	if err := w.PutConfig(config); err != nil {
		return err
	}
	for _, m := range w.Fronts {
		if !eventually(15*time.Second, func() bool {
			r, err := http.Get("http://" + m.settings["listen.ready"])
			if err != nil {
				return false
			}
			r.Body.Close()
			return r.StatusCode == http.StatusOK
		}) {
			return fmt.Errorf("%s is not ready", m.Name)
		}
	}
	return nil
}

// Zone returns the zone of the machine or server with a number.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%3+1) }

func eventually(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// Start starts the process of a machine.
func (m *Machine) Start() error {
	role := map[string]string{"galena-control": "control", "galena-gateway": "gateway"}[m.program]
	env, err := m.world.deployEnv(role)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = exec.Command(filepath.Join(m.world.root, "target", m.program))
	m.command.Dir = m.world.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	for name, value := range env {
		value = strings.ReplaceAll(value, "{{#zones}}{{@}}{{,}}{{/zones}}", "zone-1,zone-2,zone-3")
		value = placeholder.ReplaceAllStringFunc(value, func(p string) string { return m.settings[strings.Trim(p, "{}")] })
		m.command.Env = append(m.command.Env, name+"="+value)
	}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.settings["bootstrap"] = "false"
	command, ended := m.command, make(chan struct{})
	m.ended = ended
	go func() {
		_ = command.Wait() // the end is recorded with its state
		m.world.Log("%s ended: %v", m.Name, command.ProcessState)
		close(ended)
	}()
	m.world.Log("%s started, process %d", m.Name, command.Process.Pid)
	return nil
}

// Running reports whether the process of a machine runs.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.world.Log("%s gets %v", m.Name, s)
	_ = m.command.Process.Signal(s) // it may have ended
}

// FrontURL returns the address for clients.
func (m *Machine) FrontURL() string { return "http://" + m.settings["listen.front"] }

// ControlURL returns the address for servers and operators.
func (m *Machine) ControlURL() string { return "http://" + m.settings["listen.control"] }

// LogText returns what the machine's process has written.
func (m *Machine) LogText() string {
	content, err := os.ReadFile(m.log.Name())
	if err != nil {
		return ""
	}
	return string(content)
}

// Stop ends all processes and keeps the logs if KEEP names a folder for them.
func (w *World) Stop() {
	for _, m := range append(append([]*Machine(nil), w.Cores...), w.Fronts...) {
		if m.command == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGCONT) // it may have ended
		_ = m.command.Process.Kill()
		<-m.ended
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, m := range append(append([]*Machine(nil), w.Cores...), w.Fronts...) {
			_ = os.WriteFile(filepath.Join(keep, m.Name+".log"), []byte(m.LogText()), 0o644)
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

var operator = &http.Client{Timeout: time.Second}

// Call sends a call of the operator to the cores in turn until one gives a clear answer, which it
// returns.
func (w *World) Call(method, path string, body any) (int, []byte, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		m := w.Cores[i%len(w.Cores)]
		request, err := http.NewRequest(method, m.ControlURL()+path, bytes.NewReader(content))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := operator.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
			w.Log("operator: %s %s at %s: %d", method, path, m.Name, response.StatusCode)
			return response.StatusCode, answer, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil, fmt.Errorf("%s %s: no clear answer", method, path)
}

// PutConfig sends a configuration until it is acknowledged.
func (w *World) PutConfig(config map[string]any) error {
	status, answer, err := w.Call(http.MethodPut, "/config", config)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("configuration refused: %d %s", status, answer)
	}
	return err
}

// Run runs a case and ends the process with its exit code.
func Run(folder string, test func(w *World) (int, error)) {
	os.Exit(func() int {
		root, err := os.Getwd()
		if err != nil {
			fmt.Println(err)
			return CouldNot
		}
		w, err := New(root, filepath.Join(root, folder))
		if err != nil {
			fmt.Println(err)
			return CouldNot
		}
		defer w.Stop()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-signals
			w.Stop()
			os.Exit(CouldNot)
		}()
		code, err := test(w)
		if err != nil {
			w.Log("could not run: %v", err)
			fmt.Println("could not run:", err)
			return CouldNot
		}
		result := map[int]string{Held: "the rule held", Broken: "the rule was broken"}[code]
		w.Log("%s", result)
		fmt.Println(result)
		return code
	}())
}
