// Package configcheck examines a published configuration before it is sent: entries that can never match,
// limits that contradict each other, and what differs from the version in force.
//
// Errors are what makes a configuration wrong for callers; warnings are what has no effect or is
// unlikely to be meant. API keys are never part of a finding.
package configcheck
