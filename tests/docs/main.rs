//! The pages agree with the program.

mod catalogue;
