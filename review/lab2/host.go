package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// hostSettings are the values that the platform puts into the template of the settings, as in the settings of an
// edge machine of a small deployment.
func hostSettings(name, platform string) map[string]string {
	return map[string]string{
		"node": name, "zone": "bern-a", "region": "ch-mittelland", "ip": "127.0.0.1",
		"listen.front": freeAddress(), "listen.ready": freeAddress(), "listen.control": freeAddress(), "listen.directory": freeAddress(),
		"portRange.0": freePort(), "limits.memoryMb": "284", "limits.maxFds": "4100",
		"bounds.gracePeriodS": "8", "bounds.ttl_max_s": "5", "bounds.contactMs": "3000", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "52", "bounds.budgetWindowS": "10",
		"platform.address": platform,
	}
}

func freePort() string {
	_, port, _ := strings.Cut(freeAddress(), ":")
	return port
}

var (
	section     = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9._]+)\}\}`)
)

// render fills the template of the deploy file in.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if m[1] == "zones" {
			return "bern-a:ch-mittelland,bern-b:ch-mittelland,olten-c:ch-mittelland"
		}
		if v := values[m[1]]; v != "" {
			return strings.ReplaceAll(m[2], "{{"+m[1]+"}}", v)
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		return values[strings.Trim(text, "{}")]
	})
}

// host is an edge host.
type host struct {
	*process

	settings map[string]string
	file     string
}

func (h *host) front() string { return h.settings["listen.front"] }

// startHosts starts edge hosts that know each other by their seeds, and waits until they are ready.
func (r *run) startHosts(n int, s *store) (hosts []*host, err error) {
	template, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range n {
		h := &host{settings: hostSettings(fmt.Sprintf("edge-bern-a-%d", i+1), s.address)}
		hosts = append(hosts, h)
		if i < 3 {
			seeds = append(seeds, h.settings["listen.control"])
		}
	}
	for _, h := range hosts {
		h.settings["seeds"] = strings.Join(seeds, ",")
		h.file = filepath.Join(r.dir, h.settings["node"]+".ini")
		if err := os.WriteFile(h.file, []byte(render(string(template), h.settings)), 0o600); err != nil {
			return nil, err
		}
		if err := r.startHost(h); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// startHost starts the process of a host with the command of the deploy file.
func (r *run) startHost(h *host) (err error) {
	h.process, err = r.startProcess(h.settings["node"], []string{"SASSAFRASWARD_NODE_FILE=" + h.file}, "target/sassafrasward", "edge")
	r.log("start %s", h.settings["node"])
	return err
}

// awaitReady waits until the host answers its readiness check with 200.
func (h *host) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.settings["listen.ready"] + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.settings["node"])
}
