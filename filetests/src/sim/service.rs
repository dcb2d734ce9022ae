//! The configuration service and its VM list.

use std::time::Duration;

use policy::reader::{ReadRequest, ServiceKey, ServiceResult};

use crate::scenario::ServiceMode;

/// A value with its modification index.
#[derive(Clone, Default, Debug)]
struct Value {
    index: u64,
    body: String,
}

/// The stored values.
#[derive(Clone, Default, Debug)]
struct Values {
    rules: Value,
    vms: Value,
}

/// A blocking read that waits for a newer value.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    pub(super) process: usize,
    pub(super) epoch: u64,
    pub(super) order: ReadRequest,
    pub(super) ends: Duration,
}

/// The simulated configuration service.
#[derive(Clone, Default, Debug)]
pub(super) struct Service {
    values: Values,
    visible: Values,
    mode: ServiceMode,
    index: u64,
    pub(super) watches: Vec<Watch>,
    /// The number of calls.
    pub(super) calls: u64,
}

impl Service {
    pub(super) fn mode(&self) -> ServiceMode {
        self.mode
    }

    pub(super) fn set_mode(&mut self, mode: ServiceMode) {
        self.mode = mode;
        self.update_visible();
    }

    pub(super) fn publish(&mut self, key: &ServiceKey, body: String) {
        self.index += 1;
        let value = Value {
            index: self.index,
            body,
        };
        match key {
            ServiceKey::Vms => self.values.vms = value,
            _ => self.values.rules = value,
        }
        self.update_visible();
    }

    fn update_visible(&mut self) {
        if self.mode != ServiceMode::Stale {
            self.visible = self.values.clone();
        }
    }

    /// Answers a read; `None` if the read must wait for a newer value.
    pub(super) fn read(&self, order: &ReadRequest) -> Option<ServiceResult> {
        let value = match &order.key {
            ServiceKey::Rules => &self.visible.rules,
            ServiceKey::Vms => &self.visible.vms,
            ServiceKey::Part(_) => return Some(ServiceResult::Missing),
        };
        match self.mode {
            ServiceMode::Down => Some(ServiceResult::Unreachable),
            ServiceMode::Garbage => Some(ServiceResult::Value {
                index: value.index + 1000,
                body: b"\xff\x00 garbage".to_vec(),
            }),
            _ if value.index > order.after => Some(ServiceResult::Value {
                index: value.index,
                body: value.body.clone().into_bytes(),
            }),
            _ if order.wait.is_zero() => Some(ServiceResult::Unchanged),
            _ => None,
        }
    }
}
