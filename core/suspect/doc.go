// Package suspect remembers fingerprints of calls whose targets crashed.
//
// Evidence is a target that went down, or a connection that broke to a target that still
// answers, which weighs half. After the first evidence a fingerprint is a suspect: it runs only where no other suspect runs,
// so that the next crash names its cause. After two crashes it is refused. A suspect
// that completes is innocent and is cleared.
//
// Counts are kept per origin host and only grow, so facts may arrive late, twice or in
// any order: the merge takes the greatest count of each origin.
package suspect
