// Package platform is a read-only client of the configuration service and the host list, which it
// reads by HTTP long polling. Each read counts against the call budget of the platform; a long
// poll counts as one call. The daemon uses it; edge hosts use package sassafrasward/platform.
package platform
