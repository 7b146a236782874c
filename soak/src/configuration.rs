//! The changes that the operator makes to the configuration.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crocuswharf_platform_fakes::daemon::{KV_STORE_CAPACITY, REPLICA_KV_CAPACITY, split_route};
use rand::{Rng, RngExt};
use serde_json::{Value, json};

/// The routes, in the order of the configuration.
const ROUTES: [&str; 4] = ["safe", "pay", "stream", "resume"];
/// The place of the limit on the size of a request's body.
const BODY_LIMIT: &str = "/Limits/MaxBodyBytes";
/// The limit on the size of a request's body, unless it was changed.
const DEFAULT_BODY_LIMIT: u64 = 1_000;
/// The number of replicas on which a route allows a request to run, unless it was changed.
const DEFAULT_MAX_ATTEMPTS: u64 = 2;

/// The fields with a number that [`ConfigurationChange::Number`] changes, with the ranges of their values.
const NUMBERS: [(&str, Range<u64>); 21] = [
    (BODY_LIMIT, 5..100),
    ("/Limits/MaxHeaderBytes", 1_000..16_384),
    ("/Routes/0/GoalMs", 50..1_500),
    ("/Routes/1/GoalMs", 50..1_500),
    ("/Routes/2/GoalMs", 50..1_500),
    ("/Routes/0/MaxAttempts", 1..4),
    ("/Routes/1/MaxAttempts", 1..4),
    ("/Routes/2/MaxAttempts", 1..4),
    ("/Routes/3/MaxAttempts", 1..4),
    ("/Routes/0/Priority", 0..4),
    ("/Routes/1/Priority", 0..4),
    ("/Routes/3/Priority", 0..4),
    ("/Routes/3/GapTargetMs", 100..1_000),
    ("/Services/1/Engine/Slots", 1..40),
    (REPLICA_KV_CAPACITY, 5_000..200_000),
    ("/Services/1/Engine/KvTokenBytes", 1_000..200_000),
    ("/Services/1/Engine/LinkMbps", 1_000..300_000),
    ("/Services/1/Engine/MaxInflight", 1..40),
    (KV_STORE_CAPACITY, 100..10_000),
    ("/Tenants/0/Priority", 0..4),
    ("/Tenants/0/Priority", 0..4),
];
/// The fields that are true or false.
const FLAGS: [&str; 5] = [
    "/Routes/0/Public",
    "/Routes/1/Public",
    "/Routes/3/Resumable",
    "/Routes/3/Sticky",
    "/Tenants/0/Isolated",
];

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
    /// Sets the number at this place, a JSON pointer.
    Number(&'static str, u64),
    /// Sets whether the field at this place is true.
    Flag(&'static str, bool),
    /// Splits a route among the services, with these weights of the plain one and the one with a model.
    Split(u32, u32),
    /// Takes the account's keys away, or gives them back.
    KeysRemoved(bool),
    /// Removes the KV store, or adds it again.
    KvStoreRemoved(bool),
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

    /// Returns a change of any of the fields that [`Self::random`] leaves as they are, and the change that follows it if
    /// requests are rejected meanwhile.
    pub(crate) fn random_field(rng: &mut impl Rng) -> (Self, Option<Self>) {
        let index = rng.random_range(0..NUMBERS.len() + FLAGS.len() + 4);
        if let Some((place, range)) = NUMBERS.get(index) {
            let change = Self::Number(place, rng.random_range(range.clone()));
            let restored = Self::Number(place, DEFAULT_BODY_LIMIT);
            return (change, (*place == BODY_LIMIT).then_some(restored));
        }
        match index - NUMBERS.len() {
            flag if flag < FLAGS.len() => (Self::Flag(FLAGS[flag], rng.random_bool(0.5)), None),
            flag if flag == FLAGS.len() => (Self::KvStoreRemoved(rng.random_bool(0.5)), None),
            flag if flag == FLAGS.len() + 1 => {
                (Self::KeysRemoved(true), Some(Self::KeysRemoved(false)))
            }
            _ => {
                let split = Self::Split(rng.random_range(0..4), rng.random_range(1..4));
                (split, None)
            }
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
    numbers: BTreeMap<&'static str, u64>,
    flags: BTreeMap<&'static str, bool>,
    split: Option<(u32, u32)>,
    are_keys_removed: bool,
    is_kv_store_removed: bool,
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
            ConfigurationChange::Number(place, value) => {
                self.numbers.insert(place, value);
            }
            ConfigurationChange::Flag(place, value) => {
                self.flags.insert(place, value);
            }
            ConfigurationChange::Split(plain, model) => self.split = Some((plain, model)),
            ConfigurationChange::KeysRemoved(removed) => self.are_keys_removed = removed,
            ConfigurationChange::KvStoreRemoved(removed) => self.is_kv_store_removed = removed,
        }
    }

    /// Returns whether a request with a valid key may run on `route`.
    pub(crate) fn allows(&self, route: &str) -> bool {
        let has_route = !self.removed_routes.contains(&route);
        has_route && (!self.are_keys_removed || self.is_public(route))
    }

    /// Returns whether requests on `route` need no key.
    pub(crate) fn is_public(&self, route: &str) -> bool {
        let place = format!("/Routes/{}/Public", index_of(route));
        self.flags.get(place.as_str()).is_some_and(|flag| *flag)
    }

    /// Returns on how many replicas a request on `route` may run.
    pub(crate) fn max_attempts(&self, route: &str) -> u64 {
        let place = format!("/Routes/{}/MaxAttempts", index_of(route));
        let value = self.numbers.get(place.as_str());
        value.copied().unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }

    /// Returns the maximum size of a request's body.
    pub(crate) fn body_limit(&self) -> u64 {
        let value = self.numbers.get(BODY_LIMIT);
        value.copied().unwrap_or(DEFAULT_BODY_LIMIT)
    }

    /// Sets the fields that are given by their places, which the other changes may move.
    fn set_fields(&self, configuration: &mut Value) {
        let numbers = self.numbers.iter();
        let numbers = numbers.map(|(place, value)| (*place, json!(value)));
        let flags = self.flags.iter();
        let flags = flags.map(|(place, value)| (*place, json!(value)));
        for (place, value) in numbers.chain(flags) {
            let field = configuration.pointer_mut(place);
            *field.expect("the configuration has this field") = value;
        }
        if let Some((plain, model)) = self.split {
            let route = &mut configuration["Routes"][index_of("pay")];
            split_route(route, &[("app", plain), ("llm", model)]);
        }
        if self.are_keys_removed {
            configuration["Tenants"][0]["ApiKeys"] = json!(["a key of nobody"]);
        }
        if self.is_kv_store_removed {
            list(configuration, "Services").truncate(2);
        }
    }

    pub(crate) fn apply_to(&self, configuration: &mut Value) {
        let set_ms = |value: &mut Value, time: Option<Duration>| {
            if let Some(time) = time {
                *value = (time.as_millis() as u64).into();
            }
        };
        self.set_fields(configuration);
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

fn index_of(route: &str) -> usize {
    let index = ROUTES.iter().position(|name| *name == route);
    index.expect("the configuration has this route")
}

fn list<'a>(configuration: &'a mut Value, name: &str) -> &'a mut Vec<Value> {
    let list = configuration[name].as_array_mut();
    list.expect("the configuration has this list")
}
