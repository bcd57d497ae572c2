// Package bench measures the decision packages under load and faults.
//
// Several nodes run the real decision code in one process on a virtual clock,
// against simulated batching engines. Baselines and an oracle that knows the true
// load are given the same work, faults and seeds. A run is deterministic for its
// seed; only its duration depends on the machine.
package bench
