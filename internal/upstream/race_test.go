//go:build race

package upstream

// growthCopies is how many copies a growing bytes.Buffer allocates at each step: the race
// detector's build makes one more.
const growthCopies = 2
