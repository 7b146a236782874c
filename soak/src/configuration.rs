//! The changes that the operator makes to the configuration.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde_json::Value;

/// One change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// Sets the time after which idle connections of callers are closed.
    IdleTimeout(Duration),
    /// Sets the time within which callers must send the head of a request.
    HeaderTimeout(Duration),
    /// Sets the timeout of all routes.
    RouteTimeout(Duration),
    /// Sets the maximum number of connections of a service.
    MaxConnections(u32),
    /// Moves the first routes to the end.
    RoutesRotated(usize),
    /// Removes the route with this name.
    RouteRemoved(&'static str),
    /// Adds the removed routes again.
    RoutesRestored,
}

impl ConfigurationChange {
    pub(crate) fn random(rng: &mut impl Rng) -> Self {
        let mut time = |from_ms, to_ms| Duration::from_millis(rng.random_range(from_ms..to_ms));
        let idle = Self::IdleTimeout(time(200, 15_000));
        let header = Self::HeaderTimeout(time(300, 5_000));
        let timeout = Self::RouteTimeout(time(1_500, 3_000));
        match rng.random_range(0..8) {
            0 => idle,
            1 => header,
            2 => timeout,
            3 => Self::MaxConnections(rng.random_range(2..50)),
            4 => Self::RoutesRotated(rng.random_range(1..4)),
            5 => Self::RouteRemoved("safe"),
            6 => Self::RouteRemoved("stream"),
            _ => Self::RoutesRestored,
        }
    }
}

/// The changes in force, which are made to each configuration that is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    idle_timeout: Option<Duration>,
    header_timeout: Option<Duration>,
    pub(crate) route_timeout: Option<Duration>,
    max_connections: Option<u32>,
    rotation: usize,
    pub(crate) removed_routes: Vec<&'static str>,
}

impl Changes {
    /// Makes `change` beside those that were made before.
    pub fn add(&mut self, change: ConfigurationChange) {
        match change {
            ConfigurationChange::IdleTimeout(time) => self.idle_timeout = Some(time),
            ConfigurationChange::HeaderTimeout(time) => self.header_timeout = Some(time),
            ConfigurationChange::RouteTimeout(time) => self.route_timeout = Some(time),
            ConfigurationChange::MaxConnections(count) => self.max_connections = Some(count),
            ConfigurationChange::RoutesRotated(count) => self.rotation = count,
            ConfigurationChange::RouteRemoved(route) => self.removed_routes.push(route),
            ConfigurationChange::RoutesRestored => self.removed_routes.clear(),
        }
    }

    pub(crate) fn apply_to(&self, configuration: &mut Value) {
        let set_ms = |value: &mut Value, time: Option<Duration>| {
            if let Some(time) = time {
                *value = (time.as_millis() as u64).into();
            }
        };
        let limits = &mut configuration["Limits"];
        set_ms(&mut limits["IdleTimeoutMs"], self.idle_timeout);
        set_ms(&mut limits["HeaderTimeoutMs"], self.header_timeout);
        for service in list(configuration, "Services") {
            if let Some(count) = self.max_connections
                && !service["MaxConns"].is_null()
            {
                service["MaxConns"] = count.into();
            }
        }
        let routes = list(configuration, "Routes");
        routes.rotate_left(self.rotation);
        routes.retain(|route| {
            !self
                .removed_routes
                .iter()
                .any(|name| route["Name"] == *name)
        });
        for route in routes {
            set_ms(&mut route["TimeoutMs"], self.route_timeout);
        }
    }
}

fn list<'a>(configuration: &'a mut Value, name: &str) -> &'a mut Vec<Value> {
    let list = configuration[name].as_array_mut();
    list.expect("the configuration has this list")
}
