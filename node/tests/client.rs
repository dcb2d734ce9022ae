//! The HTTP client of the data path against servers with broken responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use knapweed_node::client::{Client, OutgoingRequest};

/// Answers each connection with the next of `answers`, then closes it.
fn serve(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for answer in answers {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn request() -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"hello"),
    }
}

async fn response_summary(address: SocketAddr) -> String {
    match Client::new().send(address, request()).await {
        Ok(response) => {
            let status = response.status.as_u16();
            format!("{status} {:?}", response.body.read_to_end(1 << 20).await)
        }
        Err(error) => format!("{error:?}"),
    }
}

#[actix_rt::test]
async fn a_body_is_complete_only_if_its_framing_says_so() {
    let cases: [&'static [&'static str]; 7] = [
        &["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut"],
        &["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
        &["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"],
        &["HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nno framing"],
        &["HTTP/1.1 204 No Content\r\n\r\n"],
        &[""],
    ];
    let mut results = Vec::new();
    for case in cases {
        results.push(response_summary(serve(case)).await);
    }
    insta::assert_debug_snapshot!(results);
}

#[actix_rt::test]
async fn a_refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    assert_eq!(response_summary(address).await, "Unsent");
}

#[actix_rt::test]
async fn a_connection_that_the_server_closed_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (closed_tx, closed_rx) = channel();
    thread::spawn(move || {
        for _ in 0..2 {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            drop(stream);
            let _ = closed_tx.send(());
        }
    });
    let client = Client::new();
    for _ in 0..2 {
        let response = client.send(address, request()).await.expect("a response");
        assert_eq!(
            response
                .body
                .read_to_end(10)
                .await
                .expect("a complete body"),
            "ok"
        );
        closed_rx.recv().expect("the server closes the connection");
        // The server has closed the connection; yield so that the reactor observes it.
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

/// The agents forwarded the answer of a target whose status was no status of HTTP.
#[actix_rt::test]
async fn a_response_without_a_valid_status_is_broken() {
    let cases: [&'static [&'static str]; 6] = [
        &["HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 1000 X\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 X\r\ncontent-length: 2\r\n\r\nok"],
    ];
    for case in cases {
        assert_eq!(response_summary(serve(case)).await, "Broken", "{case:?}");
    }
    let valid = serve(&["HTTP/1.1 599 X\r\ncontent-length: 2\r\n\r\nok"]);
    assert_eq!(response_summary(valid).await, "599 Ok(b\"ok\")");
}
