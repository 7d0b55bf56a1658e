package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"

	"sassafrasward/io/daemon"
)

// statusCommand reports the state of one host or of the fleet, that is, of all entry hosts.
type statusCommand struct {
	env   *environment
	Host  string `long:"host" required:"true" description:"address of an entry host"`
	Fleet bool   `long:"fleet" description:"ask each member that the host knows"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// hostReport is the status of one host, or the error that occurred while fetching it.
type hostReport struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Status  *daemon.Status `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	first := s.fetchReport(s.Host)
	if first.Status == nil {
		return errors.New(first.Error)
	}
	reports := []hostReport{first}
	if s.Fleet {
		reports = s.fetchFleet(first)
	}
	if err := s.print(reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Status == nil {
			return fmt.Errorf("host %s did not answer", r.Address)
		}
	}
	return nil
}

func (s *statusCommand) fetchReport(address string) hostReport {
	answer, err := fetchStatus(s.env.ctx, address)
	if err != nil {
		return hostReport{Address: address, Error: err.Error()}
	}
	return hostReport{Address: address, Status: &answer}
}

// fetchFleet fetches the reports of all other members that first lists, concurrently. The
// result starts with first.
func (s *statusCommand) fetchFleet(first hostReport) []hostReport {
	reports := []hostReport{first}
	for _, m := range first.Status.Members {
		if m.Host != first.Status.Host {
			reports = append(reports, hostReport{Address: m.Address})
		}
	}
	var wg sync.WaitGroup
	for i := range reports[1:] {
		wg.Go(func() { reports[i+1] = s.fetchReport(reports[i+1].Address) })
	}
	wg.Wait()
	return reports
}

func (s *statusCommand) print(reports []hostReport) error {
	if s.JSON {
		encoder := json.NewEncoder(s.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	w := tabwriter.NewWriter(s.env.out, 0, 0, 2, ' ', 0)
	for _, r := range reports {
		if r.Status == nil {
			_, _ = fmt.Fprintf(w, "host at %s\tno answer: %s\n", r.Address, r.Error)
			continue
		}
		printHost(w, *r.Status)
	}
	return w.Flush()
}

func printHost(w io.Writer, s daemon.Status) {
	_, _ = fmt.Fprintf(w, "host %s\tzone %s\tstate %s\tpreset %s\tversion %s\n", s.Host, s.Zone, s.State, s.Preset, s.Version)
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "  member %s\tzone %s\tstate %s\t%s\n", m.Host, m.Zone, m.State, m.Address)
	}
	for _, p := range s.Pools {
		_, _ = fmt.Fprintf(w, "  pool %s\tqueued %d\n", p.Pool, p.Queued)
		for _, t := range p.Targets {
			_, _ = fmt.Fprintf(w, "    target %s\tzone %s\tstate %s\tin flight %d of %d\t%s\n", t.Target, t.Zone, t.State, t.Inflight, t.Slots, t.Address)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		_, _ = fmt.Fprintf(w, "  %s\t%d\n", name, s.Counters[name])
	}
}
