//! INI settings of each role, with documented defaults and full validation.
