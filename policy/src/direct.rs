//! Decisions of a router that sends requests to targets without an agent.
//!
//! An edge router talks to targets directly. It reads the configuration and the
//! targets from the configuration service, reports its load to its peers, and
//! decides on its own where a request is sent or whether it is refused. Each
//! module holds one decision:
//!
//! - [`config`]: which route, team and service a request belongs to;
//! - [`confirmation`]: whether the configuration is recent enough to accept API
//!   keys;
//! - [`polling`]: which routers read the platform's store, and at which intervals;
//! - [`store_revision`]: which of two revisions of the store is later;
//! - [`target`]: which targets are registered;
//! - [`listing`]: what changed between two listings of the targets;
//! - [`target_table`]: the load of every target, caused by this router and its
//!   peers;
//! - [`prompt`]: the parts and the size of a prompt;
//! - [`kept`]: which prompt parts targets keep;
//! - [`kept_watch`]: which targets this router asks what they keep;
//! - [`placement`]: which target a request is sent to, or why it is refused;
//! - [`slots`]: how many requests targets without an engine have, and how long they take;
//! - [`cold`]: which routers send to a cold target, and at which rate;
//! - [`target_notice`]: what targets say of themselves in responses;
//! - [`target_limit`]: how much of a limit that a target names this router may use;
//! - [`stall`]: which targets have stopped responding;
//! - [`fair_share`]: which teams are beyond their fair share of the pool;
//! - [`spare_capacity`]: how much capacity teams beyond their share may use;
//! - [`service_bound`]: which teams are held back while another is left behind;
//! - [`prefill_rate`]: how many tokens engines prefill per millisecond;
//! - [`target_rate`]: the same for each target;
//! - [`overload`]: whether this router is overloaded;
//! - [`admission`]: how many connections and requests it takes on;
//! - [`rotation`]: which overloaded routers of a data centre report themselves unready;
//! - [`team_places`]: how these requests are divided among teams;
//! - [`outlier`]: which targets fail requests although their health checks pass;
//! - [`budget`]: how many retries this router may send;
//! - [`stream_origin`]: at which software version a stream began;
//! - [`crash`]: which requests crash every target that runs them;
//! - [`exchange`]: which router tells which others what, and who relays it;
//! - [`response`]: what a response says about the request.
//!
//! Invariant: nothing here performs I/O or reads a clock.

pub mod admission;
pub mod budget;
pub mod cold;
pub mod config;
pub mod confirmation;
pub mod continued;
pub mod crash;
pub mod exchange;
pub mod fair_share;
pub mod incarnation;
pub mod kept;
pub mod kept_watch;
pub mod listing;
pub mod memory;
pub mod operator_entries;
pub mod outlier;
pub mod overload;
pub mod part_crash;
pub mod placement;
pub mod polling;
pub mod prefill_rate;
pub mod prompt;
pub mod response;
pub mod rotation;
pub mod service_bound;
pub mod slots;
pub mod spare_capacity;
pub mod stall;
pub mod store_revision;
pub mod stream_origin;
pub mod target;
pub mod target_limit;
pub mod target_notice;
pub mod target_rate;
pub mod target_table;
pub mod team_places;
