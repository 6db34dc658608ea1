//! Regions and failure domains.

mod place;
mod spread;

pub use place::Place;
pub use spread::spread;
