//! Single requests through routers, agents and targets.

use knapweed_livetests::caller::{Request, is_complete_stream};
use knapweed_livetests::deployment::{Deployment, DeploymentPlan, http_get};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[actix_rt::test]
async fn streamed_answer_is_complete_and_can_be_explained() {
    let fleet = Deployment::start("path", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    let answer = Request::chat("alpha", "how wide is the core", 20)
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
    assert!(is_complete_stream(&answer.body), "{}", answer.body);

    let path = format!("/why/{}", answer.request_id);
    let (status, why) = http_get(fleet.routers[0].address("operators"), &path)
        .await
        .expect("an answer");
    assert_eq!(status, 200);
    assert!(
        why.contains("team alpha") && why.contains("route chat"),
        "{why}"
    );
}

#[actix_rt::test]
async fn invalid_requests_are_refused_and_internal_headers_ignored() {
    let fleet = Deployment::start("filters", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    let router = fleet.caller_address(0);
    let mut outcomes = Vec::new();
    for request in [
        Request::chat("nobody", "x", 1),
        Request::post("/v1/secret", "alpha", "{}"),
        Request::chat("alpha", &"x".repeat(3 << 20), 1),
        Request::chat("alpha", "x", 1).header("x-long", &"x".repeat(20 << 10)),
        Request::chat("alpha", "x", 1).header("kw-offer", "AAAA"),
    ] {
        let answer = request.send(router).await.expect_complete();
        outcomes.push((answer.status, answer.outcome.clone(), answer.reason()));
    }
    insta::assert_debug_snapshot!(outcomes);
}

#[actix_rt::test]
async fn stopped_router_exits_with_code_0() {
    let mut fleet = Deployment::start("stop", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    let mut router = fleet.routers.remove(0);
    let status = wait_until("the router has exited", || {
        let status = router
            .exit_status()
            .expect("the router has a readable state");
        async move { status }
    })
    .await;
    assert_eq!(status.code(), Some(0));
}

/// Sends raw bytes and returns the status line of the response; empty if the connection closes
/// without one.
async fn send_raw(router: std::net::SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(router)
        .await
        .expect("the router listens");
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("the bytes are sent");
    let mut answer = vec![0; 1024];
    let size = stream.read(&mut answer).await.unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..size]).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

#[actix_rt::test]
async fn request_with_ambiguous_framing_is_refused_and_not_run() {
    let fleet = Deployment::start("smuggle", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    let router = fleet.caller_address(0);
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer kw-demo-alpha\r\n";
    let cases = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n\r\n{}{}",
        "transfer-encoding: gzip, chunked, chunked\r\n\r\n0\r\n\r\n",
    ];
    for framing in cases {
        let status = send_raw(router, &format!("{head}{framing}")).await;
        assert!(
            status.is_empty() || status.contains(" 400 "),
            "{framing:?}: {status}"
        );
    }
    for index in 0..fleet.pairs.len() {
        assert_eq!(fleet.target_counts(index).await["runs"]["started"], 0);
    }
}
