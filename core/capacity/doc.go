// Package capacity estimates what each target of a pool can serve, where one host alone sends a target too
// few requests to tell.
//
// For each process of a target a Table keeps three values apart: the lasting time ratio (how its times
// compare with those of the pool, slow to change), the present slowdown (decays within seconds) and the
// demand (the load of all hosts that is meant for it because of shared prompts). A host's own samples and
// the facts of other hosts move them by bounded steps. Time ratios are kept as binary logarithms, so that
// twice as slow and twice as fast are steps of the same size.
//
// A host publishes a Fact only if a value differs notably from the last fact about the process, and all
// hosts together publish at most FleetFactRate facts a second.
package capacity
