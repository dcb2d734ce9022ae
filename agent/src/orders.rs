//! Load and unload orders to the agent's engine.
//!
//! The control thread selects orders with [`EngineOrders`]; the task
//! [`send_orders`] sends them.
//!
//! Invariants:
//! - An order is sent only while the agent is bound to the control address that
//!   the current rules assign to its target.
//! - The permit of an order is checked against the monotonic clock immediately
//!   before the order is sent.
//! - After a publication, the loads of a pool's agents are [`LOAD_INTERVAL`] apart.

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

/// The time between two loads across all agents of a pool.
///
/// It limits the rate of reads from the weight store.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The interval of model queries to the agents whose engines must be warm before an unload.
const MODEL_QUERY_INTERVAL: Duration = Duration::from_secs(3);

/// The time limit of an order; an engine answers before it loads the model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// The header that carries the fencing number.
const FENCING_HEADER: HeaderName = HeaderName::from_static("x-fencing");

/// The number of past orders that are kept for dumps.
const MAX_PAST_ORDERS: usize = 16;

/// An order with its permit, queued for [`send_orders`].
#[derive(Debug)]
pub struct PermittedOrder {
    order: Order,
    permit: Permit,
}

/// The result of an order.
#[derive(Debug)]
pub struct OrderResult {
    order: Order,
    end: OrderEnd,
    number: Option<FencingNumber>,
    /// The cause of a failure.
    reason: Option<String>,
}

/// A past order as shown in dumps.
#[derive(Clone, Debug, Serialize)]
struct Past {
    order: String,
    fencing: Option<FencingNumber>,
    outcome: String,
}

/// The state as shown in dumps.
#[derive(Clone, Debug, Serialize)]
pub struct OrdersDump {
    held: bool,
    denied: Option<String>,
    is_fenced: bool,
    models: Vec<String>,
    wanted: Vec<String>,
    past: Vec<Past>,
}

/// The order state of one incarnation of an agent.
#[derive(Debug)]
pub struct EngineOrders {
    endpoint: Endpoint,
    fence: Fence,
    orders: Option<Orders>,
    placement: Placement,
    target: Option<TargetId>,
    is_address_held: bool,
    denial: Option<PermitError>,
    /// The time of the agent's first load after the latest placement change.
    first_load_at: Option<Instant>,
    queried_at: Option<Instant>,
    past_orders: Vec<Past>,
    sender: mpsc::UnboundedSender<PermittedOrder>,
}

impl EngineOrders {
    /// Creates the state and the receiver that [`send_orders`] reads from.
    pub fn new(endpoint: Endpoint) -> (Self, mpsc::UnboundedReceiver<PermittedOrder>) {
        let (sender, permitted_orders) = mpsc::unbounded_channel();
        let orders = Self {
            endpoint,
            fence: Fence::new(endpoint.incarnation),
            orders: None,
            placement: Placement::default(),
            target: None,
            is_address_held: false,
            denial: None,
            first_load_at: None,
            queried_at: None,
            past_orders: Vec::new(),
            sender,
        };
        (orders, permitted_orders)
    }

    /// Sets the agent's incarnation and restarts the fence with it.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.endpoint.incarnation = incarnation;
        self.fence = Fence::new(incarnation);
    }

    /// Revokes the fence because a later incarnation of the agent exists.
    pub fn supersede(&mut self) {
        self.fence.supersede();
    }

    /// Recomputes the placement of models from the current rules and the leaving targets.
    pub fn update_placement(
        &mut self,
        now: Instant,
        config: &Config,
        leaving: impl Fn(TargetId) -> bool,
    ) {
        let own_target = config.names.targets.by_tag(self.endpoint.id.0);
        let rule = own_target.and_then(|target| config.targets[target].as_ref());
        let is_address_held = rule.is_some_and(|rule| rule.control == self.endpoint.control);
        if self.is_address_held && !is_address_held {
            let fields: &[Field<'_>] = &[("control", &self.endpoint.control)];
            event::log(Event::HoldLost, fields);
        }
        self.is_address_held = is_address_held;
        let pool = rule.and_then(|rule| config.pools[rule.pool].as_ref());
        let (Some(own_target), Some(pool)) = (own_target, pool) else {
            self.orders = None;
            return;
        };
        let rank = pool.targets.iter().position(|target| *target == own_target);
        let spacing = LOAD_INTERVAL * pool.targets.len() as u32;
        let placement = Placement::new(config, leaving);
        if placement != self.placement {
            self.first_load_at = Some(now + LOAD_INTERVAL * rank.unwrap_or(0) as u32);
        }
        self.target = Some(own_target);
        let orders = self
            .orders
            .get_or_insert_with(|| Orders::new(own_target, spacing));
        orders.set_spacing(spacing);
        orders.set_placement(now, placement.clone());
        self.placement = placement;
    }

    /// Records the models that the engine reports.
    pub fn record_models(&mut self, now: Instant, models: BTreeSet<ModelVersion>) {
        if let Some(orders) = &mut self.orders {
            orders.record_report(now, models);
        }
    }

    /// Returns the models of the engine's latest report.
    pub fn loaded_models(&self) -> Vec<ModelVersion> {
        let loaded = self.orders.iter().flat_map(Orders::loaded_models);
        loaded.cloned().collect()
    }

    /// Records the models that another target's engine reports.
    pub fn record_peer_models(
        &mut self,
        now: Instant,
        target: TargetId,
        models: Vec<ModelVersion>,
    ) {
        if let Some(orders) = &mut self.orders {
            orders.record_peer_report(now, target, models.into_iter().collect());
        }
    }

    /// Returns the targets whose agents must be queried for their models now.
    pub fn targets_to_query(&mut self, now: Instant) -> BTreeSet<TargetId> {
        let recent = |at| now.saturating_duration_since(at) < MODEL_QUERY_INTERVAL;
        match &self.orders {
            Some(orders) if !self.queried_at.is_some_and(recent) => {
                self.queried_at = Some(now);
                orders.targets_to_query()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Advances the time and queues the next order if one is due.
    pub fn tick(&mut self, now: Instant) {
        self.fence.tick(now);
        // The listener stays bound for the lifetime of the process, so a pause cannot lose
        // the address.
        self.fence.set_held(now, self.is_address_held);
        let is_early = self
            .first_load_at
            .is_none_or(|first_load_at| now < first_load_at);
        let Some(orders) = self
            .orders
            .as_mut()
            .filter(|_| self.is_address_held && !is_early)
        else {
            return;
        };
        let Some(order) = orders.next_order(now) else {
            return;
        };
        match self.fence.permit(now) {
            Ok(permit) => {
                self.denial = None;
                // The receiving task runs for the lifetime of the process.
                let _ = self.sender.send(PermittedOrder { order, permit });
            }
            Err(denial) => {
                let reason = Some(denial.to_string());
                self.denial = Some(denial);
                self.record_result(OrderResult {
                    order,
                    end: OrderEnd::Failed,
                    number: None,
                    reason,
                });
            }
        }
    }

    /// Records the result of an order.
    pub fn record_result(&mut self, result: OrderResult) {
        let OrderResult {
            order,
            end,
            number,
            reason,
        } = result;
        let outcome = reason.unwrap_or_else(|| "done".to_owned());
        let number_text = number.map_or_else(|| "none".to_owned(), |number| number.to_string());
        match end {
            OrderEnd::Accepted => {
                let fields: &[Field<'_>] = &[("order", &order), ("fencing", &number_text)];
                event::log(Event::OrderDone, fields);
            }
            OrderEnd::Fenced | OrderEnd::Failed => {
                let fields: &[Field<'_>] = &[
                    ("order", &order),
                    ("fencing", &number_text),
                    ("reason", &outcome),
                ];
                event::log(Event::OrderFailed, fields);
            }
        }
        if let Some(orders) = &mut self.orders {
            orders.order_ended(end);
        }
        self.past_orders.push(Past {
            order: order.to_string(),
            fencing: number,
            outcome,
        });
        let surplus = self.past_orders.len().saturating_sub(MAX_PAST_ORDERS);
        self.past_orders.drain(..surplus);
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> OrdersDump {
        let text = |model: &ModelVersion| model.to_string();
        let wanted = self.target.into_iter();
        let wanted = wanted.flat_map(|target| self.placement.models(target));
        OrdersDump {
            held: self.is_address_held,
            denied: self.denial.map(|denial| denial.to_string()),
            is_fenced: self.orders.as_ref().is_some_and(Orders::is_fenced),
            models: self.loaded_models().iter().map(text).collect(),
            wanted: wanted.map(text).collect(),
            past: self.past_orders.clone(),
        }
    }
}

/// Parses a model in the form that engines report, `NAME@VERSION`.
pub fn parse_model(text: &str) -> Option<ModelVersion> {
    let (name, version) = text.rsplit_once('@')?;
    Some(ModelVersion {
        name: Name::new(name),
        version: Name::new(version),
    })
}

/// The request body of an order in the engine's protocol.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
enum OrderBody {
    Load { model: String },
    Unload { model: String },
}

/// Sends orders to the engine until the process ends.
pub async fn send_orders(
    client: Client,
    target: SocketAddr,
    reporter: Reporter,
    mut permitted_orders: mpsc::UnboundedReceiver<PermittedOrder>,
) {
    while let Some(PermittedOrder { order, permit }) = permitted_orders.recv().await {
        let request = |number| engine_request(&order, number);
        let result = match permit.into_number(SystemClock.now().mono) {
            None => OrderResult {
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
                    Ok(Ok(answer)) => classify_status(answer.status),
                };
                OrderResult {
                    order,
                    end,
                    number: Some(number),
                    reason,
                }
            }
        };
        reporter.report(Input::OrderEnded(result));
    }
}

fn classify_status(status: StatusCode) -> (OrderEnd, Option<String>) {
    match status {
        status if status.is_success() => (OrderEnd::Accepted, None),
        StatusCode::CONFLICT => (OrderEnd::Fenced, Some("fencing number refused".to_owned())),
        status => (
            OrderEnd::Failed,
            Some(format!("status {}", status.as_u16())),
        ),
    }
}

fn engine_request(order: &Order, number: FencingNumber) -> OutgoingRequest {
    let body = match order {
        Order::Load(model) => OrderBody::Load {
            model: model.to_string(),
        },
        Order::Unload(model) => OrderBody::Unload {
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
        body: Bytes::from(serde_json::to_vec(&body).expect("orders serialize to JSON")),
    }
}
