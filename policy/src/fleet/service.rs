//! Reads of the configuration service and adoption of documents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entity::{Incarnation, Name, Now, ProcessId};
use xxhash_rust::xxh3::xxh3_64;

use super::message::{Health, Listing, Version};
use super::vm_list::{ListState, VmEntry, parse_vm_list};
use super::{Alarm, Fleet, FleetAction};
use crate::member::MergeOutcome;
use crate::message::Endpoint;
use crate::reader::{
    CONFIRMATION_TIMEOUT, PEER_SILENCE_TIMEOUT, ReadReason, ReadRequest, ServiceKey, ServiceResult,
    is_reader,
};
use crate::revision::{DocumentCompiler, OfferOutcome, Source};

/// The time after which unfinished reads of a document's parts are abandoned when the root is read
/// again.
const PART_READS_TIMEOUT: Duration = Duration::from_secs(20);

/// The reads of a document's parts that are in progress.
#[derive(Clone, Debug)]
pub(super) struct PartReads {
    root: Arc<str>,
    names: Vec<Name>,
    texts: Vec<Arc<str>>,
    /// When the read of the root was started.
    asked: Instant,
}

impl<C: DocumentCompiler> Fleet<C> {
    /// Computes whether and why this process reads the configuration service.
    pub(super) fn update_read_reason(&mut self, now: Now) {
        let last_contact = self.last_contact.unwrap_or(self.started);
        let silence = now.mono.saturating_duration_since(last_contact);
        let age = now.mono.saturating_duration_since(self.started);
        let confirmed = self.confirmed_at.map_or(self.started, |at| at.mono);
        let unconfirmed = now.mono.saturating_duration_since(confirmed);
        let no_document = self.revisions.current().is_none() && age >= PEER_SILENCE_TIMEOUT;
        let not_dead = |health: Health| health < Health::Dead;
        let others = self.members.iter().map(|member| member.claim);
        let others = others.filter(|claim| not_dead(claim.health));
        let ids = others.map(|claim| claim.endpoint.id);
        self.read_reason = match is_reader(self.endpoint().id, ids) {
            true => ReadReason::Reader,
            false if silence >= PEER_SILENCE_TIMEOUT || no_document => ReadReason::Alone,
            false if unconfirmed >= CONFIRMATION_TIMEOUT => ReadReason::Overdue,
            false => ReadReason::None,
        };
    }

    /// Starts the reads that are due now.
    pub(super) fn start_due_reads(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let requests = [
            self.vms_reader.start_if_due(now.mono, self.read_reason),
            self.rules_reader.start_if_due(now.mono, self.read_reason),
        ];
        actions.extend(requests.into_iter().flatten().map(FleetAction::ReadService));
    }

    /// Handles the result of a read.
    pub(super) fn on_read(
        &mut self,
        now: Now,
        key: ServiceKey,
        result: &ServiceResult,
        actions: &mut Vec<FleetAction>,
    ) {
        let alarm = match result {
            ServiceResult::Malformed => Some(Alarm::Garbage { key: key.clone() }),
            ServiceResult::Missing => Some(Alarm::Missing { key: key.clone() }),
            _ => None,
        };
        actions.extend(alarm.map(FleetAction::Alarm));
        match key {
            ServiceKey::Vms => self.on_vm_list(now, result, actions),
            ServiceKey::Rules => self.on_root(now, result, actions),
            ServiceKey::Part(name) => self.on_part(now, &name, result, actions),
        }
    }

    fn on_vm_list(&mut self, now: Now, result: &ServiceResult, actions: &mut Vec<FleetAction>) {
        let started = self
            .vms_reader
            .finish(now.mono, result, self.read_reason, &mut self.rng);
        let ServiceResult::Value { index, body } = result else {
            return;
        };
        if started.is_none() || self.vm_list_index == Some(*index) {
            return;
        }
        match parse_vm_list(body) {
            Ok(listed) => {
                self.vm_list_index = Some(*index);
                for vm in &listed {
                    self.apply_vm_entry(now, *index, vm);
                }
                self.update_read_reason(now);
            }
            Err(_) => {
                self.vms_reader.reject_value(now.mono, &mut self.rng);
                let key = ServiceKey::Vms;
                actions.push(FleetAction::Alarm(Alarm::Garbage { key }));
            }
        }
    }

    fn apply_vm_entry(&mut self, now: Now, index: u64, vm: &VmEntry) {
        let id = ProcessId(vm.name.tag());
        let endpoint = Endpoint {
            id,
            incarnation: Incarnation(0),
            control: vm.control,
        };
        let listing = Listing {
            index,
            leaving: vm.state == ListState::Leaving,
        };
        self.members
            .add_unknown(now.mono, endpoint, vm.role, vm.data_centre.tag());
        let outcome = self.members.apply_listing(now.mono, id, listing);
        self.push_pending |= outcome == MergeOutcome::Leaving;
        self.members_changed |= outcome != MergeOutcome::Unchanged;
    }

    fn on_root(&mut self, now: Now, result: &ServiceResult, actions: &mut Vec<FleetAction>) {
        let started = self
            .rules_reader
            .finish(now.mono, result, self.read_reason, &mut self.rng);
        let (Some(asked), ServiceResult::Value { body, .. }) = (started, result) else {
            return;
        };
        let Ok(root) = std::str::from_utf8(body) else {
            self.reject_root(now, actions);
            return;
        };
        if self.adopted_root == Some((xxh3_64(body), self.version())) {
            self.record_confirmation(now, asked);
            return;
        }
        match self.compiler.parts(root) {
            Ok(names) if names.is_empty() => self.offer_assembled(now, root, &[], asked, actions),
            Ok(names) => self.start_part_reads(now, root, names, asked, actions),
            // Offers the invalid root anyway, so that the compiler refuses it and its error is
            // reported.
            Err(_) => self.offer_assembled(now, root, &[], asked, actions),
        }
    }

    fn reject_root(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        self.rules_reader.reject_value(now.mono, &mut self.rng);
        let key = ServiceKey::Rules;
        actions.push(FleetAction::Alarm(Alarm::Garbage { key }));
    }

    fn start_part_reads(
        &mut self,
        now: Now,
        root: &str,
        names: Vec<Name>,
        asked: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        let in_progress = self.part_reads.as_ref().is_some_and(|reads| {
            *reads.root == *root
                && now.mono.saturating_duration_since(reads.asked) < PART_READS_TIMEOUT
        });
        if in_progress {
            return;
        }
        actions.push(read_part(&names[0]));
        self.part_reads = Some(PartReads {
            root: Arc::from(root),
            names,
            texts: Vec::new(),
            asked,
        });
    }

    fn on_part(
        &mut self,
        now: Now,
        name: &Name,
        result: &ServiceResult,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(mut reads) = self.part_reads.take() else {
            return;
        };
        if reads.names[reads.texts.len()] != *name {
            self.part_reads = Some(reads);
            return;
        }
        let text = match result {
            ServiceResult::Value { body, .. } => std::str::from_utf8(body).ok(),
            _ => None,
        };
        let Some(text) = text else {
            self.rules_reader.reject_value(now.mono, &mut self.rng);
            return;
        };
        reads.texts.push(Arc::from(text));
        match reads.names.get(reads.texts.len()) {
            Some(next) => {
                actions.push(read_part(next));
                self.part_reads = Some(reads);
            }
            None => {
                let PartReads {
                    root, texts, asked, ..
                } = reads;
                self.offer_assembled(now, &root, &texts, asked, actions);
            }
        }
    }

    fn offer_assembled(
        &mut self,
        now: Now,
        root: &str,
        parts: &[Arc<str>],
        asked: Instant,
        actions: &mut Vec<FleetAction>,
    ) {
        let text = match parts {
            [] => Ok(root.to_owned()),
            _ => self.compiler.assemble(root, parts),
        };
        let outcome = match text {
            Ok(text) => self
                .revisions
                .offer(&self.compiler, &text, Source::Service, None),
            Err(error) => OfferOutcome::Invalid {
                hash: self.compiler.hash(root),
                error,
                already_refused: false,
            },
        };
        let in_force = matches!(
            outcome,
            OfferOutcome::Adopted { .. } | OfferOutcome::Current
        );
        self.report_offer(now, outcome, Source::Service, actions);
        match in_force {
            true => {
                self.adopted_root = Some((xxh3_64(root.as_bytes()), self.version()));
                self.record_confirmation(now, asked);
            }
            // The document may have been read while it was incomplete, so the next read requests
            // the value again.
            false => self.rules_reader.reject_value(now.mono, &mut self.rng),
        }
    }

    /// Applies the outcome of an offered document and raises the alarm that it calls for.
    pub(super) fn report_offer(
        &mut self,
        now: Now,
        outcome: OfferOutcome,
        source: Source,
        actions: &mut Vec<FleetAction>,
    ) {
        let current = self.version();
        let alarm = match outcome {
            OfferOutcome::Adopted { replaced } => {
                self.apply_adopted(now, actions);
                replaced.map(|dropped| Alarm::Conflict {
                    kept: current,
                    dropped,
                })
            }
            OfferOutcome::LostTie(dropped) => Some(Alarm::Conflict {
                kept: current,
                dropped,
            }),
            OfferOutcome::Older(offered) if source == Source::Service => {
                Some(Alarm::StaleService { offered, current })
            }
            OfferOutcome::Invalid {
                hash,
                error,
                already_refused: false,
            } => Some(Alarm::Invalid {
                hash,
                source,
                reason: error.reason,
            }),
            _ => None,
        };
        actions.extend(alarm.map(FleetAction::Alarm));
    }

    fn apply_adopted(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let document = self.revisions.current().expect("a document was adopted");
        let config = document.config.clone();
        for (id, target) in config.targets.iter() {
            let Some(target) = target else { continue };
            let endpoint = Endpoint {
                id: ProcessId(config.names.targets.tag(id)),
                incarnation: Incarnation(0),
                control: target.control,
            };
            let centre = config.names.centres.tag(target.centre);
            self.members
                .add_unknown(now.mono, endpoint, super::Role::Agent, centre);
        }
        self.push_pending = true;
        actions.push(FleetAction::Adopt(config));
    }

    /// Records that the service had nothing newer when it was asked at `asked`.
    pub(super) fn record_confirmation(&mut self, now: Now, asked: Instant) {
        let age = now.mono.saturating_duration_since(asked);
        let Some(wall) = now.wall.checked_sub(age) else {
            return;
        };
        if self.confirmed_at.is_none_or(|at| at.mono < asked) {
            self.confirmed_at = Some(Now { mono: asked, wall });
        }
    }

    /// Handles the version in force at a peer.
    pub(super) fn on_peer_version(
        &mut self,
        now: Now,
        endpoint: Endpoint,
        version: Version,
        actions: &mut Vec<FleetAction>,
    ) {
        self.record_contact(now, endpoint);
        let fetch = self
            .revisions
            .note_peer_version(now.mono, endpoint.control, version);
        actions.extend(fetch.map(|(to, message)| FleetAction::Send { to, message }));
    }

    /// Repeats a fetch that was not answered in time.
    pub(super) fn retry_fetch(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let fetch = self.revisions.retry_if_overdue(now.mono);
        actions.extend(fetch.map(|(to, message)| FleetAction::Send { to, message }));
    }
}

fn read_part(name: &Name) -> FleetAction {
    FleetAction::ReadService(ReadRequest {
        key: ServiceKey::Part(name.clone()),
        after: 0,
        wait: Duration::ZERO,
    })
}
