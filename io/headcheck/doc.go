// Package headcheck makes connections and HTTP clients fail on responses whose heads are malformed, as
// core/httphead defines it. net/http accepts some of them.
package headcheck
