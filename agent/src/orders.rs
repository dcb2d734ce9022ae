//! Orders to the engine beside the agent: which come next, and how they are sent.
//!
//! The control thread decides with [`EngineOrders`]; [`send`] runs beside it.
//!
//! Invariants:
//! - An order is sent only while the agent is bound to the control address that
//!   the rules in force name for its target.
//! - The permit of an order is redeemed against the monotonic clock right before
//!   its bytes are sent.
//! - The loads of a pool's agents are [`LOAD_INTERVAL`] apart after a publication.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use entity::{Clock, Incarnation, Name, SystemClock, TargetId};
use node::client::{Client, OutgoingRequest};
use node::event::{self, Event, Field};
use policy::fence::{Fence, FencingNumber, Permit, PermitError};
use policy::message::Endpoint;
use policy::order::{Order, OrderEnd, Orders};
use policy::placement::{ModelVersion, Placement};
use rules::Config;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::control::Input;
use crate::relay::Reporter;

/// The time between two loads of all agents of a pool, for the weight store's rate.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between questions to the agents whose engines must be warm before an unload.
const ASK_INTERVAL: Duration = Duration::from_secs(3);

/// The time limit of an order; an engine loads after it has answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// The header with the fencing number.
const FENCING_HEADER: HeaderName = HeaderName::from_static("x-fencing");

/// The number of past orders that a dump shows.
const SHOWN: usize = 16;

/// An order on its way to the engine.
#[derive(Debug)]
pub struct Given {
    order: Order,
    permit: Permit,
}

/// How an order ended.
#[derive(Debug)]
pub struct Ended {
    order: Order,
    end: OrderEnd,
    number: Option<FencingNumber>,
    /// Why it was not carried out.
    reason: Option<String>,
}

/// A past order, for dumps.
#[derive(Clone, Debug, Serialize)]
struct Past {
    order: String,
    fencing: Option<FencingNumber>,
    outcome: String,
}

/// What a dump shows.
#[derive(Clone, Debug, Serialize)]
pub struct OrdersDump {
    held: bool,
    denied: Option<String>,
    is_fenced: bool,
    models: Vec<String>,
    wanted: Vec<String>,
    past: Vec<Past>,
}

/// The orders of one agent's life.
#[derive(Debug)]
pub struct EngineOrders {
    endpoint: Endpoint,
    fence: Fence,
    orders: Option<Orders>,
    placement: Placement,
    target: Option<TargetId>,
    held: bool,
    denied: Option<PermitError>,
    /// When the agent's first load after the latest placement is due.
    begin: Option<Instant>,
    asked: Option<Instant>,
    past: Vec<Past>,
    sender: mpsc::UnboundedSender<Given>,
}

impl EngineOrders {
    /// Creates the orders of a life and what [`send`] reads from.
    pub fn new(endpoint: Endpoint) -> (Self, mpsc::UnboundedReceiver<Given>) {
        let (sender, given) = mpsc::unbounded_channel();
        let orders = Self {
            endpoint,
            fence: Fence::new(endpoint.incarnation),
            orders: None,
            placement: Placement::default(),
            target: None,
            held: false,
            denied: None,
            begin: None,
            asked: None,
            past: Vec::new(),
            sender,
        };
        (orders, given)
    }

    /// The agent's incarnation is this one from now on.
    pub fn raised(&mut self, incarnation: Incarnation) {
        self.endpoint.incarnation = incarnation;
        self.fence = Fence::new(incarnation);
    }

    /// A later life of the agent exists.
    pub fn superseded(&mut self) {
        self.fence.supersede();
    }

    /// Places the models anew, by the rules in force and by who leaves.
    pub fn place(&mut self, now: Instant, config: &Config, leaving: impl Fn(TargetId) -> bool) {
        let own = config.names.targets.by_tag(self.endpoint.id.0);
        let rule = own.and_then(|own| config.targets[own].as_ref());
        let held = rule.is_some_and(|rule| rule.control == self.endpoint.control);
        if self.held && !held {
            let fields: &[Field<'_>] = &[("control", &self.endpoint.control)];
            event::log(Event::HoldLost, fields);
        }
        self.held = held;
        let pool = rule.and_then(|rule| config.pools[rule.pool].as_ref());
        let (Some(own), Some(pool)) = (own, pool) else {
            self.orders = None;
            return;
        };
        let rank = pool.targets.iter().position(|target| *target == own);
        let spacing = LOAD_INTERVAL * pool.targets.len() as u32;
        let placement = Placement::new(config, leaving);
        if placement != self.placement {
            self.begin = Some(now + LOAD_INTERVAL * rank.unwrap_or(0) as u32);
        }
        self.target = Some(own);
        let orders = self.orders.get_or_insert_with(|| Orders::new(own, spacing));
        orders.set_spacing(spacing);
        orders.set_placement(now, placement.clone());
        self.placement = placement;
    }

    /// Takes in the engine's report of its models.
    pub fn reported(&mut self, now: Instant, models: BTreeSet<ModelVersion>) {
        if let Some(orders) = &mut self.orders {
            orders.record_report(now, models);
        }
    }

    /// The models that the engine reported last.
    pub fn models(&self) -> Vec<ModelVersion> {
        let held = self.orders.iter().flat_map(Orders::loaded_models);
        held.cloned().collect()
    }

    /// Takes in what another target's engine holds.
    pub fn heard(&mut self, now: Instant, target: TargetId, models: Vec<ModelVersion>) {
        if let Some(orders) = &mut self.orders {
            orders.record_peer_report(now, target, models.into_iter().collect());
        }
    }

    /// The targets whose agents are to be asked for their models now.
    pub fn inquiries(&mut self, now: Instant) -> BTreeSet<TargetId> {
        let recent = |at| now.saturating_duration_since(at) < ASK_INTERVAL;
        match &self.orders {
            Some(orders) if !self.asked.is_some_and(recent) => {
                self.asked = Some(now);
                orders.targets_to_query()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Looks at the clock and gives the next order if one is due.
    pub fn tick(&mut self, now: Instant) {
        self.fence.tick(now);
        // The listener is bound as long as the process lives, so a pause did not lose it.
        self.fence.set_held(now, self.held);
        let is_early = self.begin.is_none_or(|begin| now < begin);
        let Some(orders) = self.orders.as_mut().filter(|_| self.held && !is_early) else {
            return;
        };
        let Some(order) = orders.next_order(now) else {
            return;
        };
        match self.fence.permit(now) {
            Ok(permit) => {
                self.denied = None;
                // The sender runs as long as the process.
                let _ = self.sender.send(Given { order, permit });
            }
            Err(denied) => {
                let reason = Some(denied.to_string());
                self.denied = Some(denied);
                self.ended(Ended {
                    order,
                    end: OrderEnd::Failed,
                    number: None,
                    reason,
                });
            }
        }
    }

    /// Takes in how an order ended.
    pub fn ended(&mut self, ended: Ended) {
        let Ended {
            order,
            end,
            number,
            reason,
        } = ended;
        let outcome = reason.unwrap_or_else(|| "done".to_owned());
        let shown = number.map_or_else(|| "none".to_owned(), |number| number.to_string());
        match end {
            OrderEnd::Accepted => {
                let fields: &[Field<'_>] = &[("order", &order), ("fencing", &shown)];
                event::log(Event::OrderDone, fields);
            }
            OrderEnd::Fenced | OrderEnd::Failed => {
                let fields: &[Field<'_>] =
                    &[("order", &order), ("fencing", &shown), ("reason", &outcome)];
                event::log(Event::OrderFailed, fields);
            }
        }
        if let Some(orders) = &mut self.orders {
            orders.order_ended(end);
        }
        self.past.push(Past {
            order: order.to_string(),
            fencing: number,
            outcome,
        });
        let surplus = self.past.len().saturating_sub(SHOWN);
        self.past.drain(..surplus);
    }

    /// The state, for a dump.
    pub fn dump(&self) -> OrdersDump {
        let text = |model: &ModelVersion| model.to_string();
        let wanted = self.target.into_iter();
        let wanted = wanted.flat_map(|target| self.placement.models(target));
        OrdersDump {
            held: self.held,
            denied: self.denied.map(|denied| denied.to_string()),
            is_fenced: self.orders.as_ref().is_some_and(Orders::is_fenced),
            models: self.models().iter().map(text).collect(),
            wanted: wanted.map(text).collect(),
            past: self.past.clone(),
        }
    }
}

/// Reads a model as engines report it, `NAME@VERSION`.
pub fn read_model(text: &str) -> Option<ModelVersion> {
    let (name, version) = text.rsplit_once('@')?;
    Some(ModelVersion {
        name: Name::new(name),
        version: Name::new(version),
    })
}

/// An order in the engine's protocol.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
enum Body {
    Load { model: String },
    Unload { model: String },
}

/// Sends orders to the engine until the process ends.
pub async fn send(
    client: Client,
    target: SocketAddr,
    reporter: Reporter,
    mut given: mpsc::UnboundedReceiver<Given>,
) {
    while let Some(Given { order, permit }) = given.recv().await {
        let request = |number| outbound(&order, number);
        let ended = match permit.into_number(SystemClock.now().mono) {
            None => Ended {
                end: OrderEnd::Failed,
                number: None,
                reason: Some("paused before it was sent".to_owned()),
                order,
            },
            Some(number) => {
                let sent = client.send(target, request(number));
                let answer = timeout(ORDER_TIMEOUT, sent).await;
                let (end, reason) = match answer {
                    Err(_) => (OrderEnd::Failed, Some("no answer in time".to_owned())),
                    Ok(Err(error)) => (OrderEnd::Failed, Some(error.to_string())),
                    Ok(Ok(answer)) => judge(answer.status),
                };
                Ended {
                    order,
                    end,
                    number: Some(number),
                    reason,
                }
            }
        };
        reporter.report(Input::Ordered(ended));
    }
}

fn judge(status: StatusCode) -> (OrderEnd, Option<String>) {
    match status {
        status if status.is_success() => (OrderEnd::Accepted, None),
        StatusCode::CONFLICT => (OrderEnd::Fenced, Some("fencing number refused".to_owned())),
        status => (
            OrderEnd::Failed,
            Some(format!("status {}", status.as_u16())),
        ),
    }
}

fn outbound(order: &Order, number: FencingNumber) -> OutgoingRequest {
    let body = match order {
        Order::Load(model) => Body::Load {
            model: model.to_string(),
        },
        Order::Unload(model) => Body::Unload {
            model: model.to_string(),
        },
    };
    let mut headers = HeaderMap::new();
    headers.insert(FENCING_HEADER, HeaderValue::from(number.0));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static("/v1/orders"),
        headers,
        body: Bytes::from(serde_json::to_vec(&body).expect("orders encode")),
    }
}
