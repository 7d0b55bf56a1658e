// Package address chooses which hosts a caller is told to use.
package address
