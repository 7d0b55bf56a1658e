// Package setting reads the settings file of one host: its name, availability zone,
// addresses and limits, and the address of the platform. The registry of keys defines the
// allowed values of each key. Load reports all errors of a file at once.
package setting
