// Package budget limits added work, such as retries and hedges, to a percentage of the
// original work of a pool. Each unit of original work adds tokens to a bucket, and each unit
// of added work takes tokens from it. The bucket does not depend on time.
package budget
