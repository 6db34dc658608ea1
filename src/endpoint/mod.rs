//! The endpoint role: the only process that gives its engine or service orders or calls.
