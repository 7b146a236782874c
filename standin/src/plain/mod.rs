//! A fake of a plain service such as stand-ledger: payments that may not be repeated, and receipts that may.
//!
//! It counts how often each payment ran, which is what the tests ask for. It does not honour idempotency keys itself,
//! so that a second dispatch always shows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crocuswharf::HEADER_IDEMPOTENCY_KEY;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, Router, async_trait};
use serde_json::json;

use crate::serve::{Served, serve};

/// How a plain service fails at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFaults {
    /// A payment runs, and its connection is then cut before the answer.
    pub cut_after_run: bool,
    /// How long a payment takes.
    pub delay: Duration,
    /// How much text a receipt has beside its number.
    pub receipt_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    faults: PlainFaults,
}

/// A handle to the fake service, whose replicas share one ledger.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
}

impl PlainService {
    /// Serves one replica until the returned server is dropped.
    pub async fn serve(&self, address: SocketAddr) -> anyhow::Result<Served> {
        let routes = Router::new()
            .push(Router::with_path("payments").post(PayHandler(self.clone())))
            .push(Router::with_path("receipts/{id}").get(ReceiptHandler(self.clone())))
            .push(Router::with_path("runs").get(RunsHandler(self.clone())));
        serve(address, routes).await
    }

    /// Changes how the service fails.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.lock().faults = faults;
    }

    /// Returns how often each payment ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

struct PayHandler(PlainService);
struct ReceiptHandler(PlainService);
struct RunsHandler(PlainService);

#[async_trait]
impl salvo::Handler for PayHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let key = request
            .headers()
            .get(HEADER_IDEMPOTENCY_KEY)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let faults = self.0.lock().faults;
        tokio::time::sleep(faults.delay).await;
        *self.0.lock().runs.entry(key.clone()).or_default() += 1;
        if faults.cut_after_run {
            res.stream(futures_util::stream::once(async {
                Err::<bytes::Bytes, _>(std::io::Error::other("cut after the run"))
            }));
            return;
        }
        res.status_code(StatusCode::CREATED);
        res.render(Json(json!({"paid": key})));
    }
}

#[async_trait]
impl salvo::Handler for ReceiptHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request.param::<String>("id").unwrap_or_default();
        let (paid, bytes) = {
            let state = self.0.lock();
            (state.runs.contains_key(&id), state.faults.receipt_bytes)
        };
        res.render(Json(
            json!({"receipt": id, "paid": paid, "text": "x".repeat(bytes)}),
        ));
    }
}

#[async_trait]
impl salvo::Handler for RunsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render(Json(self.0.runs()));
    }
}
