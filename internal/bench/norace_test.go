//go:build !race

package bench

// poisonSeeds is how many seeds the poison test plays.
const poisonSeeds = 150
