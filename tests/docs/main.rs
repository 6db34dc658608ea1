//! The pages agree with the program: catalogues, links and commands.

mod catalogue;
mod commands;
mod invariants;
mod links;
mod pages;
