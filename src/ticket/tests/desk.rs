//! The desk and its handlers over a platform on a loopback socket.

use std::sync::Mutex;

use salvo::conn::Acceptor;
use salvo::prelude::*;

use super::*;
use crate::store::tests::platform::Platform;
use crate::ticket::reply::{MemberRevision, TicketReply};

struct Bench {
    platform: Platform,
    url: String,
    http: reqwest::Client,
    in_force: Arc<Mutex<Arc<StoredState>>>,
}

impl Bench {
    async fn start() -> Self {
        let platform = Platform::start().await;
        let in_force: Arc<Mutex<Arc<StoredState>>> = Arc::default();
        let (shown, taken) = (in_force.clone(), in_force.clone());
        let desk = TicketDesk {
            store: platform.client(),
            in_force: Arc::new(move || shown.lock().unwrap().clone()),
            accepted: Arc::new(move |state| {
                *taken.lock().unwrap() = Arc::new(state);
                Box::pin(std::future::ready(()))
            }),
            members: Arc::new(|| {
                Box::pin(std::future::ready(vec![member("r1", 1), member("r2", 0)]))
            }),
        };
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.holdings()[0]
            .local_addr
            .clone()
            .into_std()
            .unwrap();
        tokio::spawn(Server::new(acceptor).serve(Router::new().push(ticket_routes(desk))));
        let url = format!("http://{address}/tickets");
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        Self {
            platform,
            url,
            http,
            in_force,
        }
    }

    async fn post(&self, path: &str, document: String) -> (u16, TicketReply) {
        let url = format!("{}{path}", self.url);
        let answer = self.http.post(url).body(document).send().await.unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap())
    }

    async fn get(&self, path: &str) -> (u16, serde_json::Value) {
        let answer = self
            .http
            .get(format!("{}{path}", self.url))
            .send()
            .await
            .unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap())
    }
}

fn member(router: &str, revision: u64) -> MemberRevision {
    let zone = "yaba".into();
    MemberRevision {
        router: router.into(),
        zone,
        revision,
    }
}

#[tokio::test]
async fn handlers_check_submit_list_show_and_status() {
    let bench = Bench::start().await;
    let (code, reply) = bench.post("/check", base_ticket(5)).await;
    assert_eq!((code, reply), (200, TicketReply::Sound { ticket: 5 }));
    assert!(bench.platform.objects.lock().unwrap().values.is_empty());
    let accepted = TicketReply::Accepted {
        ticket: 5,
        revision: 1,
    };
    assert_eq!(
        bench.post("", base_ticket(5)).await,
        (200, accepted.clone())
    );
    assert_eq!(bench.post("", base_ticket(5)).await, (200, accepted));
    assert_eq!(bench.in_force.lock().unwrap().revision(), 1);
    let conflict = TicketReply::Conflict {
        ticket: 5,
        revision: 1,
    };
    assert_eq!(
        bench.post("", preference_ticket(5, 9)).await,
        (409, conflict)
    );
    assert_eq!(bench.post("", preference_ticket(4, 9)).await.0, 422);
    assert_eq!(bench.get("").await.1[0]["ticket"], 5);
    let (_, shown) = bench.get("/5").await;
    assert_eq!(shown["document"]["preferences"]["fast"]["homes"], 3);
    let (_, status) = bench.get("/5/status").await;
    assert_eq!(
        (status["in_force"].as_u64(), status["members"].as_u64()),
        (Some(1), Some(2))
    );
    assert_eq!(status["lagging"][0]["router"], "r2");
    assert_eq!(bench.get("/6").await.0, 404);
}

#[tokio::test]
async fn submit_settles_answers_that_the_platform_loses() {
    let bench = Bench::start().await;
    bench.platform.objects.lock().unwrap().lose_answers = true;
    let (code, reply) = bench.post("", base_ticket(5)).await;
    assert_eq!(
        (code, reply),
        (
            200,
            TicketReply::Accepted {
                ticket: 5,
                revision: 1
            }
        )
    );
}
