//! Checks that the pages agree with the program: catalogues, links, commands and test names.

mod catalogue;
mod commands;
mod invariants;
mod links;
mod pages;
