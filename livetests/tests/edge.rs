//! Requests, responses and streams through an edge router.

use knapweed_livetests::edge::{EdgeFleet, body_of, is_complete_chunked, status_of};

/// The number of events of a complete stream.
const EVENTS: usize = 10;

#[actix_rt::test]
async fn request_reaches_its_target_with_system_headers() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("states", 1, 1).await?;
    let answer = fleet.send("POST", "/once/ok?x=%20y", "a1").await;
    assert_eq!(
        (status_of(&answer), body_of(&answer).as_str()),
        (200, "answer to a1")
    );
    assert!(
        answer.contains("x-knapweedgate-server-seal: s.t0"),
        "{answer}"
    );
    let arrivals = fleet.arrivals("a1");
    let request = &arrivals[0].request;
    assert_eq!(
        (request.method.as_str(), request.target.as_str()),
        ("POST", "/once/ok?x=%20y")
    );
    assert_eq!(request.body, b"body");
    assert_eq!(request.header("x-knapweedgate-tenant"), Some("red"));
    assert_eq!(request.header("x-knapweedgate-expect-instance"), Some("t0"));
    assert_eq!(request.header("x-knapweedgate-hold"), None);
    assert_eq!(request.header("authorization"), None);
    let remaining_ms: u64 = request
        .header("x-knapweedgate-deadline-ms")
        .expect("a deadline header")
        .parse()?;
    assert!((3_000..=4_000).contains(&remaining_ms), "{remaining_ms}");
    Ok(())
}

#[actix_rt::test]
async fn unknown_keys_and_routes_are_rejected() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("checks", 1, 1).await?;
    let with_key = |key| fleet.send_to(0, "GET", "/safe/ok", "b", key);
    assert_eq!(status_of(&with_key(None).await), 401);
    assert_eq!(status_of(&with_key(Some("other")).await), 401);
    assert_eq!(status_of(&fleet.send("GET", "/nowhere/ok", "b").await), 404);
    assert_eq!(
        status_of(&fleet.send_to(0, "GET", "/open/ok", "c", None).await),
        200
    );
    assert!(fleet.arrivals("b").is_empty());
    Ok(())
}

#[actix_rt::test]
async fn requests_are_reported_as_refused_only_if_not_executed() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("truth", 1, 2).await?;
    for (script, status, runs) in [
        ("shed", 503, 2),
        ("busy", 502, 1),
        ("reset", 502, 1),
        ("unsigned", 502, 1),
        ("encoded", 502, 1),
        ("cut", 502, 1),
        ("error", 500, 1),
    ] {
        let answer = fleet.send("POST", &format!("/once/{script}"), script).await;
        assert_eq!(status_of(&answer), status, "{script}: {answer}");
        assert_eq!(fleet.arrivals(script).len(), runs, "{script}");
        assert_eq!(
            answer.contains("retry-after"),
            status == 503,
            "{script}: {answer}"
        );
        let has_seal = answer.contains("server-seal");
        assert_eq!(has_seal, script == "error", "{script}: {answer}");
    }
    Ok(())
}

#[actix_rt::test]
async fn idempotent_request_is_retried_at_another_target() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("again", 1, 2).await?;
    for script in ["busy", "reset", "unsigned", "cut"] {
        let answer = fleet.send("GET", &format!("/safe/{script}"), script).await;
        assert_eq!(status_of(&answer), 502, "{answer}");
        let mut targets: Vec<_> = fleet
            .arrivals(script)
            .into_iter()
            .map(|it| it.target)
            .collect();
        targets.sort();
        assert_eq!(targets, ["t0", "t1"], "{script}");
    }
    Ok(())
}

#[actix_rt::test]
async fn surplus_response_reaches_no_caller() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("extra", 1, 1).await?;
    for number in 0..6 {
        let script = if number % 2 == 0 { "extra" } else { "ok" };
        let id = format!("e{number}");
        let answer = fleet.send("POST", &format!("/once/{script}"), &id).await;
        assert_eq!(body_of(&answer), format!("answer to {id}"));
    }
    Ok(())
}

#[actix_rt::test]
async fn response_without_a_length_ends_at_connection_close() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("unframed", 1, 1).await?;
    let answer = fleet.send("POST", "/once/unframed", "u").await;
    assert_eq!(
        (status_of(&answer), body_of(&answer).as_str()),
        (200, "answer to u")
    );
    Ok(())
}

#[actix_rt::test]
async fn resumable_stream_resumes_after_its_last_complete_event() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("resume", 1, 2).await?;
    let answer = fleet.send("POST", "/resume/halt-4", "r").await;
    let expected: String = (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    assert_eq!(body_of(&answer), expected);
    assert!(is_complete_chunked(&answer));
    let arrivals = fleet.arrivals("r");
    assert_eq!(arrivals[1].request.header("last-event-id"), Some("3"));
    assert_ne!(arrivals[0].target, arrivals[1].target);
    Ok(())
}

#[actix_rt::test]
async fn interrupted_non_resumable_stream_is_truncated() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("broken", 1, 2).await?;
    let answer = fleet.send("POST", "/stream/halt-4", "s").await;
    assert!(!is_complete_chunked(&answer), "{answer}");
    assert!(!answer.contains("token 4"), "incomplete event: {answer}");
    assert_eq!(fleet.arrivals("s").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn malformed_and_oversized_requests_are_rejected() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("torn", 1, 1).await?;
    let address = fleet.routers[0].address("callers");
    let head = "POST /open/ok HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: z\r\n";
    for (rest, status) in [
        (
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
            400,
        ),
        (
            "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx".to_owned(),
            400,
        ),
        ("Content-Length: +4\r\n\r\nbody".to_owned(), 400),
        ("Content-Length: 200000\r\n\r\n".to_owned(), 413),
        (format!("X-Long: {}\r\n\r\n", "x".repeat(17_000)), 431),
    ] {
        let answer = knapweed_livetests::edge::raw_call(address, &format!("{head}{rest}")).await?;
        assert_eq!(status_of(&answer), status, "{answer}");
    }
    assert!(fleet.arrivals("z").is_empty());
    Ok(())
}

/// Guards against a router that says that it listens, and then exits.
#[actix_rt::test]
async fn router_with_a_taken_operators_port_exits_before_it_says_that_it_listens()
-> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("taken-port", 0, 0).await?;
    let taken = std::net::TcpListener::bind("127.0.0.1:0")?;
    assert!(fleet.start_router(taken.local_addr()?).is_err());
    Ok(())
}
