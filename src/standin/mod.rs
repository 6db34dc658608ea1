//! Small stand-ins for the platform, with faults to order.
