//! Tests of handlers without a listener.

use std::pin::pin;

use futures_util::poll;
use tokio::runtime::Handle;

use super::tickets::apply_state;
use super::*;
use crate::configuration::StoredState;
use crate::settings::parse_json;

mod connections;

/// Guards against a ticket that is reported as accepted while its router still serves the configuration before it.
#[tokio::test]
async fn apply_state_control_thread_is_busy_waits_until_it_is_activated() {
    let settings = parse_json(include_str!("../../../examples/router.json")).unwrap();
    let (shared, mut events) = Shared::new(settings, &Handle::current()).unwrap();
    let mut applying = pin!(apply_state(Arc::new(shared), StoredState::default()));
    assert!(poll!(&mut applying).is_pending(), "no event was handled");
    let event = events.recv().await.unwrap();
    assert!(poll!(&mut applying).is_pending(), "it is being handled");
    drop(event);
    applying.await;
}
