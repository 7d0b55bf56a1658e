// Package config parses and validates the published configuration: one INI document that
// describes pipelines, pools, targets, workspaces and presets, and names the active preset.
//
// A document takes effect as a whole or not at all. Validation depends only on the bytes,
// so all hosts that receive the same bytes reach the same result. The registry in field.go
// lists each section and key with its range and its meaning. Parse checks a document
// against the registry and reports all errors at once.
package config
