//! Reads from the configuration service: every response maps to a defined outcome.

use std::time::Duration;

use actix_rt::net::TcpListener;
use futures::future::join;
use knapweed_node::watch::{MAX_VALUE_BYTES, ServiceClient};
use policy::reader::{ReadRequest, ServiceKey, ServiceResult};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Answers one connection with `response`, then closes it; returns the request line.
async fn respond(listener: &TcpListener, response: Vec<u8>) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    // The client may close the connection before it has read the whole response.
    let _ = stream.write_all(&response).await;
    let head = String::from_utf8(head).expect("a head");
    head.lines().next().expect("a first line").to_owned()
}

fn read_order() -> ReadRequest {
    ReadRequest {
        key: ServiceKey::Part("rules.2".into()),
        after: 7,
        wait: Duration::from_millis(250),
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn describe(result: &ServiceResult) -> String {
    match result {
        ServiceResult::Value { index, body } => format!("value {index}, {} bytes", body.len()),
        other => format!("{other:?}"),
    }
}

#[test]
fn every_response_has_a_defined_outcome() {
    let sized = |length: usize, size: usize| {
        let head = format!("HTTP/1.1 200 OK\r\nx-index: 9\r\ncontent-length: {length}\r\n\r\n");
        [head.into_bytes(), vec![b'x'; size]].concat()
    };
    let text = |text: &str| text.as_bytes().to_vec();
    let cases = [
        ("a value", sized(5, 5)),
        (
            "the greatest value",
            sized(MAX_VALUE_BYTES, MAX_VALUE_BYTES),
        ),
        (
            "over a megabyte",
            sized(MAX_VALUE_BYTES + 1, MAX_VALUE_BYTES + 1),
        ),
        ("cut short", sized(5, 3)),
        ("unchanged", text("HTTP/1.1 304 Not Modified\r\n\r\n")),
        (
            "unknown key",
            text("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"),
        ),
        (
            "failing",
            text("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"),
        ),
        (
            "a redirect",
            text("HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n"),
        ),
        (
            "no index",
            text("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"),
        ),
        (
            "an index that is no number",
            text("HTTP/1.1 200 OK\r\nx-index: z\r\ncontent-length: 1\r\n\r\nx"),
        ),
        (
            "chunked, cut between chunks",
            text("HTTP/1.1 200 OK\r\nx-index: 9\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n"),
        ),
        ("no HTTP", text("SSH-2.0-x\r\n\r\n")),
        ("closed", Vec::new()),
    ];
    let mut table = String::new();
    for (case, bytes) in cases {
        let (request, result) = run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let url = format!("http://{}/", listener.local_addr().expect("an address"));
            let client = ServiceClient::new(vec![url], 0);
            let order = read_order();
            join(respond(&listener, bytes), client.read(&order)).await
        });
        assert_eq!(request, "GET /v1/values/rules.2?after=7&wait=250 HTTP/1.1");
        table += &format!("{case}: {}\n", describe(&result));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn the_read_after_a_failed_one_uses_the_next_replica() {
    let results = run(async {
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gone = gone.local_addr().expect("an address");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let live = listener.local_addr().expect("an address");
        let urls = vec![format!("http://{gone}"), format!("http://{live}")];
        let client = ServiceClient::new(urls, 0);
        let order = read_order();
        let first = client.read(&order).await;
        let bytes = b"HTTP/1.1 304 Not Modified\r\n\r\n".to_vec();
        let (_, second) = join(respond(&listener, bytes), client.read(&order)).await;
        let none = ServiceClient::new(Vec::new(), 0).read(&order).await;
        [first, second, none]
    });
    let unreachable = ServiceResult::Unreachable;
    assert_eq!(
        results,
        [unreachable.clone(), ServiceResult::Unchanged, unreachable]
    );
}
