// Package config is the published configuration: one INI document that describes
// pipelines, pools, targets, workspaces and presets, and names the preset in force.
//
// A document takes effect as a whole or not at all. Acceptance is a pure function of
// the bytes, so all hosts that see the same bytes agree. The registry of fields in
// field.go lists each section and key with its range and its meaning; Parse checks a
// document against it and reports every mistake at once.
package config
