//! The entry role: addresses, permits, routing and the administration API.
