//go:build !race

package upstream

// growthCopies is how many copies a growing bytes.Buffer allocates at each step.
const growthCopies = 1
