//! Router.
