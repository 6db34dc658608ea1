//! The load and experiment tool: measurements, each against its own baseline.
