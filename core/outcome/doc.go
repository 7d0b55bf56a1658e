// Package outcome names what a caller is told about a request.
//
// An outcome is a promise. NotRun promises that no target began a stage with
// consequences; Done promises that the answer is whole and belongs to the request;
// Unknown says that a command may have run and that this system will not run it again.
package outcome
