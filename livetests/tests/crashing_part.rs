//! Edge routers while requests that share a part of their prompts crash targets.

use std::time::Duration;

use knapweed_livetests::edge::{EdgeFleet, status_of};
use tokio::time::sleep;

/// The part that crashes targets.
const FATAL_PART: &str = "bad0";

/// The number of targets that may end before requests with the part must be known.
const KNOWN_CRASHES: usize = 5;

/// The number of requests with the part that may reach targets after that.
const ALLOWED_ARRIVALS: usize = 3;

/// The time within which all routers know.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The number of routers.
const ROUTERS: usize = 3;

/// The pause between two requests with the part.
const FATAL_PAUSE: Duration = Duration::from_millis(300);

/// The number of requests with the part that arrived, of those with these numbers.
fn fatal_arrivals(fleet: &EdgeFleet, numbers: std::ops::Range<usize>) -> usize {
    numbers
        .map(|number| fleet.arrivals(&format!("fatal{number}")).len())
        .sum()
}

/// Sends requests that share nothing but the part, and sound ones beside them that share
/// their other parts; returns how many of the sound ones were answered.
async fn play(fleet: &EdgeFleet, numbers: std::ops::Range<usize>) -> (usize, usize) {
    let (mut sent, mut answered) = (0, 0);
    for number in numbers {
        let router = number % ROUTERS;
        let path = "/resume/stream-3";
        let own = 0x1000 + number;
        let parts = format!("a11:400,{FATAL_PART}:300,{own:x}:200");
        let id = format!("fatal{number}");
        let fatal = fleet.send_prompt(router, path, &id, &parts);
        let sound = async {
            let mut answered = 0;
            for sound in 0..ROUTERS {
                let id = format!("sound{number}-{sound}");
                let parts = format!("a11:400,b{sound}:300,2{own:x}:200");
                let answer = fleet.send_prompt(sound, path, &id, &parts).await;
                answered += usize::from(status_of(&answer) == 200);
            }
            answered
        };
        let (_, count) = futures::join!(fatal, sound);
        (sent, answered) = (sent + ROUTERS, answered + count);
        sleep(FATAL_PAUSE).await;
    }
    (sent, answered)
}

#[actix_rt::test]
async fn requests_with_a_part_that_crashes_targets_are_refused_and_others_go_on() -> eyre::Result<()>
{
    const REST: usize = 12;
    let mut fleet = EdgeFleet::start("crashing-part", ROUTERS, 0).await?;
    fleet.add_fragile_targets(24, FATAL_PART).await?;
    sleep(STABLE_WINDOW).await;
    let crashed = |fleet: &EdgeFleet| fleet.targets.iter().filter(|it| it.has_crashed()).count();
    let mut number = 0;
    while crashed(&fleet) < KNOWN_CRASHES && number < 20 {
        play(&fleet, number..number + 1).await;
        number += 1;
    }
    sleep(STABLE_WINDOW).await;
    let (sent, answered) = play(&fleet, number..number + REST).await;
    let arrivals = fatal_arrivals(&fleet, number..number + REST);
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} arrivals");
    assert!(2 * answered >= sent, "{answered} of {sent} sound requests");
    Ok(())
}
