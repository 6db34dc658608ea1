//! Regions and failure domains.
