// Package budget bounds added work, such as retries and hedges, to a percentage of the
// work of a pool. A token bucket earns with each unit of original work and pays for each
// unit of added work; no clock is involved.
package budget
