// Package bench measures the decision packages under load and faults.
//
// Several nodes run the real decision code in one process on a virtual clock,
// against seeded fakes of batching engines. The same work, faults and seeds are
// given to baselines and to an oracle that knows the true load. A run is
// deterministic for its seed; only its duration depends on the machine.
package bench
