//! The control loop: holds leases, runs the decision systems and carries out what they want.
