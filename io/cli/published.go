package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"

	"sassafrasward/core/configcheck"
	"sassafrasward/core/route"
	"sassafrasward/platform"
)

// errFindings is returned if a configuration must not be published. The findings were printed.
var errFindings = fmt.Errorf("%w: the configuration must not be published", errInvalidInput)

// publishedReport is the result of the check of a configuration that is to be published.
type publishedReport struct {
	Findings []configcheck.Finding `json:"findings"`
	// Changes is what differs from the version in force; empty if that version is not known.
	Changes []configcheck.Change `json:"changes"`
}

// checkPublished checks the configuration that is to be published, prints the findings and what it changes, and
// returns errFindings if it must not be published.
func (c *checkCommand) checkPublished() (err error) {
	raw, err := readFile(c.env, c.Published)
	if err != nil {
		return err
	}
	report := publishedReport{Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	next, findings := platform.InspectConfig(raw)
	report.Findings = append(report.Findings, findings...)
	if next != nil {
		report.Findings = append(report.Findings, configcheck.Check(next)...)
		inForce, err := c.readInForce()
		if err != nil {
			return err
		}
		if inForce != nil {
			report.Findings = append(report.Findings, configcheck.CheckVersion(inForce, next)...)
			report.Changes = append(report.Changes, configcheck.Diff(inForce, next)...)
		}
	}
	if err := report.print(c.env.out, c.JSON); err != nil {
		return err
	}
	if slices.ContainsFunc(report.Findings, func(f configcheck.Finding) bool { return f.Severity() == configcheck.Error }) {
		return errFindings
	}
	return nil
}

// readInForce returns the configuration in force, nil if it is not asked for or there is none.
func (c *checkCommand) readInForce() (t *route.Table, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("configuration in force: %w", err)
		}
	}()
	var raw []byte
	switch {
	case c.InForce != "":
		if raw, err = readFile(c.env, c.InForce); err != nil {
			return nil, err
		}
	case c.Store != "":
		store := platform.NewStore(c.Store, new(net.Dialer).DialContext, func() {})
		item, _, ok, err := store.Get(c.env.ctx, platform.KeyConfig)
		if err != nil || !ok {
			return nil, err
		}
		raw = item.Value
	default:
		return nil, nil
	}
	t, findings := platform.InspectConfig(raw)
	if t == nil {
		return nil, errors.New(findings[0].String())
	}
	return t, nil
}

// print writes the report, one finding or change per line or as JSON.
func (r publishedReport) print(w io.Writer, asJSON bool) (err error) {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	return nil
}
