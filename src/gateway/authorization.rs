//! The key that authorizes a request, which is checked when the head has arrived and again before each send.
//!
//! The body of a request may take seconds, a request may wait for the prefill of its prefix, and the process may be
//! paused. The key may have been revoked by then, or the configuration may be too old to confirm it. Rejected: cutting
//! streams that run when their key is revoked, and not resuming them, because their caller was authorized when they began.
//!
//! Load pattern handled: bodies that are completed after their key was revoked, and processes that are paused between the
//! arrival of a request and its send.

use std::fmt;
use std::sync::Arc;

use http::StatusCode;

use super::call::RETRY_AFTER_NOT_READY;
use super::freshness::Freshness;
use super::response::LocalReply;
use super::route::{GatewayAccount, Route, RouteTable};

/// The key that a caller presented.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct CallerKey(Arc<str>);

impl CallerKey {
    pub(crate) fn new(key: &str) -> Self {
        Self(key.into())
    }

    /// Returns the account of the key; `None` if callers of `route` need no key.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the key is unknown, or if the configuration is too old to confirm or to deny it.
    pub(crate) fn authorize<'a>(
        &self,
        route: &Route,
        table: &'a RouteTable,
        freshness: &Freshness,
    ) -> Result<Option<&'a GatewayAccount>, LocalReply> {
        if !table.needs_key(route) {
            return Ok(None);
        }
        let not_ready = |reason| Err(LocalReply::not_run(reason, RETRY_AFTER_NOT_READY));
        let Some(account) = table.account_for_key(&self.0) else {
            if freshness.allows_denials {
                return Err(LocalReply::denied(StatusCode::UNAUTHORIZED, "unknown key"));
            }
            return not_ready("the configuration is not confirmed");
        };
        if !freshness.allows_keys {
            return not_ready("keys can't be confirmed");
        }
        Ok(Some(account))
    }
}

/// Omits the key.
impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey")
    }
}
