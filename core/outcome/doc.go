// Package outcome defines the outcomes of a request that are reported to its caller.
//
// Each outcome is a guarantee. NotRun guarantees that no target began a stage that may not be
// repeated; Done guarantees that the answer is complete and belongs to the request; Unknown
// means that a command may have run, and guarantees that this system will not run it again.
package outcome
