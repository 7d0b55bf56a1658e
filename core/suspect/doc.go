// Package suspect tracks fingerprints of calls, and parts of their prompts, that may crash targets.
//
// Evidence against a fingerprint is a target that went down while it ran the call, or, with
// half the weight, a broken connection to a target that still answers. After the first evidence
// a call is isolated: it runs only where no other suspect runs, so that the next crash
// identifies its cause. After two crashes it is refused. A call that completes is cleared.
//
// Evidence is counted per origin host and only grows, so records may arrive late, twice or in
// any order: a merge takes the maximum of each origin's counts.
//
// Calls that have one part of their prompts in common may differ in everything else. Evidence
// against a part is therefore counted per crash of a target, whichever call had the part, and a call
// that completes clears all its parts on all hosts.
package suspect
