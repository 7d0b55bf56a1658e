// Package setting reads the settings file of one host: its name, availability zone and
// addresses, and where the platform is. The registry of keys states the allowed range of
// each; Load reports every mistake at once.
package setting
