//! Checks that the example documents of both users are valid, and their current sizes.

use entity::Directory;
use knapweed_rules::{Config, Repeat, load};

fn summary(text: &str) -> String {
    let config = load(text, &Directory::default()).expect("the example is valid");
    let pools = config.pools.iter().filter_map(|(id, pool)| {
        let size = pool.as_ref()?.targets.len();
        Some(format!("{} {size}", config.names.pools.name(id)))
    });
    let pools: Vec<_> = pools.collect();
    format!(
        "data centres {}, pools {}, teams {}, keys {}, once: {}",
        config.names.centres.len(),
        pools.join(" "),
        config.names.teams.len(),
        config.keys.len(),
        once(&config).join(" "),
    )
}

fn once(config: &Config) -> Vec<String> {
    let routes = config.routes.iter().filter_map(|(id, route)| {
        let is_once = route.as_ref()?.repeat == Repeat::Once;
        is_once.then(|| config.names.routes.name(id).to_string())
    });
    routes.collect()
}

#[test]
fn halvorsen() {
    let text = include_str!("../../examples/halvorsen/rules.kw");
    insta::assert_snapshot!(summary(text));
}

#[test]
fn skogssparbarhetsverket() {
    let text = include_str!("../../examples/skogssparbarhetsverket/rules.kw");
    insta::assert_snapshot!(summary(text));
}
