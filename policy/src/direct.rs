//! Decisions of a router that places requests on targets itself.
//!
//! An edge router has no agent between itself and a target. It learns the
//! configuration and the targets from the configuration service, tells its
//! peers what it has in hand, and decides alone where a request goes or whether
//! it is refused. The modules hold one decision each:
//!
//! - [`config`]: which route, team and service a request belongs to;
//! - [`confirmation`]: whether the configuration is recent enough to accept API keys;
//! - [`polling`]: which routers read the store, and at which intervals;
//! - [`board`]: what every target has in hand, of this router and of its peers;
//! - [`place`]: which target a request goes to, or why it is refused;
//! - [`cold`]: which routers send to a cold target, and how often;
//! - [`stall`]: which targets have stopped responding;
//! - [`fair_share`]: which teams are beyond their fair share of the pool;
//! - [`prefill_rate`]: how many tokens engines prefill per millisecond;
//! - [`overload`]: whether this router is overloaded;
//! - [`outlier`]: which targets fail requests although their health checks pass;
//! - [`budget`]: how many repeats the fleet may add to its load;
//! - [`crash`]: which requests take down every target that runs them;
//! - [`response`]: what a response says about the request.
//!
//! Invariant: nothing here performs I/O or reads a clock.

pub mod board;
pub mod budget;
pub mod cold;
pub mod config;
pub mod confirmation;
pub mod crash;
pub mod fair_share;
pub mod outlier;
pub mod overload;
pub mod place;
pub mod polling;
pub mod prefill_rate;
pub mod response;
pub mod stall;
pub mod target;
