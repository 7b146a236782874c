//! Whole routers on loopback that find each other, restart and leave while the platform fails.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crocuswharf::{
    Bounds, DirectoryResponse, HEADER_RUN, Listen, LogSettings, Router, RouterSettings, Times, Vm,
    VmState,
};
use crocuswharf_standin::platform::{Platform, PlatformFaults};
use crocuswharf_standin::serve::Served;
use reqwest::StatusCode;
use serde_json::json;
use sha2::{Digest, Sha256};

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
const OPERATOR_KEY: &str = "operator-key-of-the-test";
const CALLER_KEY: &str = "caller-key-of-the-test";

/// Routers that keep their addresses over restarts, before one platform.
struct Deployment {
    platform: Platform,
    _platform_server: Served,
    settings: Vec<RouterSettings>,
    routers: Vec<Option<Arc<Router>>>,
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn digest_of(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn http() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    builder.build().expect("the client can be built")
}

fn settings(index: usize, platform: SocketAddr, seeds: &[SocketAddr]) -> RouterSettings {
    RouterSettings {
        router: format!("router-{index}").into(),
        zone: ["ikeja", "yaba", "apapa"][index % 3].into(),
        listen: Listen {
            callers: any_port(),
            operators: any_port(),
            peers: any_port(),
        },
        platform,
        seeds: seeds.to_vec(),
        peer_keys: vec!["peer-key-of-the-test".into()],
        operator_key_sha256: vec![digest_of(OPERATOR_KEY).into()],
        times: Times {
            directory_life_ms: 500,
            ..Times::default()
        },
        bounds: Bounds::default(),
        traffic_threads: 1,
        log: LogSettings::default(),
    }
}

impl Deployment {
    async fn start(size: usize) -> Self {
        let platform = Platform::new();
        let served = platform.serve(any_port()).await;
        let server = served.expect("loopback can be bound");
        let mut deployment = Self {
            platform,
            settings: Vec::new(),
            routers: Vec::new(),
            _platform_server: server,
        };
        let mut seeds = Vec::new();
        for index in 0..size {
            let platform = deployment._platform_server.address;
            let mut settings = settings(index, platform, &seeds);
            let router = Router::start(settings.clone()).expect("the router starts");
            let bound = router.addresses();
            settings.listen = Listen {
                callers: bound.callers,
                operators: bound.operators,
                peers: bound.peers,
            };
            seeds.push(bound.peers);
            deployment.settings.push(settings);
            deployment.routers.push(Some(Arc::new(router)));
        }
        // The first routers have no seeds while they start; later lives have.
        for settings in &mut deployment.settings {
            settings.seeds.clone_from(&seeds);
        }
        deployment
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.settings[index].listen.callers
    }

    async fn stop(&mut self, index: usize) {
        let router = self.routers[index].take().expect("the router runs");
        tokio::task::spawn_blocking(move || drop(router))
            .await
            .expect("the router stops");
    }

    /// Starts a router again on its old addresses, as soon as the system has freed them.
    async fn restart(&mut self, index: usize) {
        let begun = Instant::now();
        let router = loop {
            match Router::start(self.settings[index].clone()) {
                Ok(router) => break router,
                Err(error) => assert!(begun.elapsed() < PATIENCE, "{error}"),
            }
            tokio::time::sleep(POLL).await;
        };
        self.routers[index] = Some(Arc::new(router));
    }

    async fn submit_ticket(&self) {
        let address = self.settings[0].listen.operators;
        let ticket = json!({"ticket": 1, "accounts": {
            "market": {"key_sha256": [digest_of(CALLER_KEY)], "services": []},
        }});
        let response = http()
            .post(format!("http://{address}/tickets"))
            .bearer_auth(OPERATOR_KEY)
            .json(&ticket)
            .send()
            .await
            .expect("the router answers");
        assert!(
            response.status().is_success(),
            "{:?}",
            response.text().await
        );
    }

    /// Returns the addresses that a router names, or none where it does not answer.
    async fn listed(&self, index: usize) -> BTreeSet<SocketAddr> {
        let url = format!("http://{}/v1/entries", self.address(index));
        let Ok(response) = http().get(url).send().await else {
            return BTreeSet::new();
        };
        // A router that has not published its first directory refuses with this status.
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return BTreeSet::new();
        }
        let entries: DirectoryResponse = response.json().await.expect("the answer is a directory");
        entries.entries.iter().map(|entry| entry.address).collect()
    }

    async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/readyz", self.settings[index].listen.operators);
        let answer = http().get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn until_listed_everywhere(&self, expected: &[usize]) {
        let expected: BTreeSet<SocketAddr> =
            expected.iter().map(|index| self.address(*index)).collect();
        for index in (0..self.routers.len()).filter(|index| self.routers[*index].is_some()) {
            let agreed = async {
                while self.listed(index).await != expected {
                    tokio::time::sleep(POLL).await;
                }
            };
            if tokio::time::timeout(PATIENCE, agreed).await.is_err() {
                panic!(
                    "router {index} names {:?}, not {expected:?}",
                    self.listed(index).await
                );
            }
        }
    }

    /// Waits until a router is ready and returns how long that took.
    async fn until_ready(&self, index: usize) -> Duration {
        let begun = Instant::now();
        let ready = async {
            while !self.is_ready(index).await {
                tokio::time::sleep(POLL).await;
            }
        };
        let in_time = tokio::time::timeout(PATIENCE, ready).await;
        in_time.expect("the router gets ready");
        begun.elapsed()
    }

    fn set_outage(&self, outage: bool) {
        self.platform.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_members_come_and_go() {
    let mut deployment = Deployment::start(5).await;
    deployment.until_listed_everywhere(&[0, 1, 2, 3, 4]).await;
    deployment.stop(3).await;
    deployment.until_listed_everywhere(&[0, 1, 2, 4]).await;
    deployment.restart(3).await;
    deployment.until_listed_everywhere(&[0, 1, 2, 3, 4]).await;
    let leaving = deployment.routers[1].clone().expect("the router runs");
    let drain = tokio::spawn(async move { leaving.drain(PATIENCE).await });
    deployment.until_listed_everywhere(&[0, 2, 3, 4]).await;
    drain.await.expect("the drain ends");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_leaving_vm_is_left_out() {
    let deployment = Deployment::start(4).await;
    deployment.until_listed_everywhere(&[0, 1, 2, 3]).await;
    let vm = |(index, settings): (usize, &RouterSettings)| Vm {
        address: settings.listen.peers,
        zone: settings.zone.clone(),
        state: if index == 2 {
            VmState::Leaving
        } else {
            VmState::Running
        },
    };
    let vms = deployment.settings.iter().enumerate().map(vm).collect();
    deployment.platform.set_vms(vms);
    deployment.until_listed_everywhere(&[0, 1, 3]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_platform_down_configuration_from_peers() {
    let mut deployment = Deployment::start(9).await;
    deployment.submit_ticket().await;
    for index in 0..9 {
        deployment.until_ready(index).await;
    }
    deployment
        .until_listed_everywhere(&[0, 1, 2, 3, 4, 5, 6, 7, 8])
        .await;
    deployment.set_outage(true);
    // One by one, until none is left that saw the platform.
    for index in 0..9 {
        deployment.stop(index).await;
        deployment.restart(index).await;
        let took = deployment.until_ready(index).await;
        println!("router {index} of 9, restarted alone: ready after {took:?}");
    }
    for index in 0..6 {
        deployment.stop(index).await;
    }
    for index in 0..6 {
        deployment.restart(index).await;
    }
    for index in 0..6 {
        let took = deployment.until_ready(index).await;
        println!("router {index} of 6 of 9 restarted at once: ready after {took:?} more");
    }
    deployment
        .until_listed_everywhere(&[0, 1, 2, 3, 4, 5, 6, 7, 8])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_all_platform_down_refuses_not_run() {
    let mut deployment = Deployment::start(3).await;
    deployment.submit_ticket().await;
    deployment.until_ready(0).await;
    deployment.set_outage(true);
    for index in 0..3 {
        deployment.stop(index).await;
    }
    for index in 0..3 {
        deployment.restart(index).await;
    }
    deployment.until_listed_everywhere(&[0, 1, 2]).await;
    for index in 0..3 {
        assert!(!deployment.is_ready(index).await);
        let response = http()
            .post(format!(
                "http://{}/v1/chat/completions",
                deployment.address(index)
            ))
            .bearer_auth(CALLER_KEY)
            .json(&json!({"model": "shine-assistant", "messages": []}))
            .send()
            .await
            .expect("the router answers");
        let run = response.headers().get(HEADER_RUN);
        assert_eq!(run.and_then(|run| run.to_str().ok()), Some("not-run"));
        assert!(!response.status().is_success());
    }
    deployment.set_outage(false);
    for index in 0..3 {
        deployment.until_ready(index).await;
    }
}
