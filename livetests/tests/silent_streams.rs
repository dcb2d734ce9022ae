//! Streams whose target sends nothing for a while.

use knapweed_livetests::edge::{EdgeFleet, body_of, is_complete_chunked};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use standins::platform::ScriptedTarget;

/// The number of events of the streams.
const EVENTS: u64 = 10;

/// Whether a response is a complete stream with each event once.
fn is_whole(answer: &str) -> bool {
    let body = body_of(answer);
    let ids = body.lines();
    let ids = ids.filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
    is_complete_chunked(answer) && ids.eq(1..=EVENTS)
}

/// A stream was dropped after half a second of silence, before another target had accepted it.
#[actix_rt::test]
async fn silent_stream_goes_on_where_it_is_if_the_other_targets_are_full() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("doze", 1, 3).await?;
    for number in 0..2 {
        let id = format!("d{number}");
        let answer = fleet.send("GET", "/resume/doze-4", &id).await;
        assert!(is_whole(&answer), "{answer}");
        assert!(fleet.arrivals(&id).len() > 1, "another target was asked");
    }
    Ok(())
}

/// The same in a planned stop, with the last router that could serve it.
#[actix_rt::test]
async fn silent_stream_survives_a_planned_stop() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("doze-stop", 1, 3).await?;
    let (answer, signalled) = futures::join!(fleet.send("GET", "/resume/doze-4", "d"), async {
        wait_until("the request arrives", || async {
            (!fleet.arrivals("d").is_empty()).then_some(())
        })
        .await;
        fleet.signal(0, Signal::Terminate)
    });
    signalled?;
    assert!(is_whole(&answer), "{answer}");
    Ok(())
}

/// A target that answers nothing held the stream of one that had only paused.
#[actix_rt::test]
async fn silent_stream_goes_on_if_its_target_sends_first() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("nap", 1, 3).await?;
    let answer = fleet.send("GET", "/resume/nap-4", "n").await;
    assert!(is_whole(&answer), "{answer}");
    assert_eq!(fleet.arrivals("n").len(), 2);
    let left = |id: &str| {
        let all = fleet.targets.iter().flat_map(ScriptedTarget::disconnects);
        all.filter(|it| it.request == id).count()
    };
    wait_until(
        "the other target is told that the request has ended",
        || async { (left("n") == 1).then_some(()) },
    )
    .await;
    Ok(())
}

/// A silent target may break the stream while another one is asked to resume it.
#[actix_rt::test]
async fn stream_is_resumed_if_its_silent_target_closes_the_connection() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("fade", 1, 3).await?;
    let answer = fleet.send("GET", "/resume/fade-4", "f").await;
    assert!(is_whole(&answer), "{answer}");
    assert_eq!(fleet.arrivals("f").len(), 2);
    Ok(())
}
