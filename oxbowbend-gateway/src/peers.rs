//! Talking to the other instances.
//!
//! Reports go as JSON-RPC notifications in datagrams, not over a connection: each holds the whole
//! state, so a lost one needs no repeat, and a machine that has gone dark holds up nothing. What
//! does not fit a datagram, the configuration and the list of endpoints, is asked for by a JSON-RPC
//! call, and only when a report shows that the other one knows more.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::Receiver;
use async_std::net::UdpSocket;
use async_std::{future, task};
use jsonrpsee_types::Notification;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::{FleetSummary, Report};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::report_pacing::ReportPacer;
use oxbowbend_core::rollout::PeerLocation;
use oxbowbend_core::slot_leases::{self, SlotNotification};
use oxbowbend_core::snapshot_requests::SnapshotRequests;
use oxbowbend_http::h1;

use crate::audience::{changed, known, Audience, Reach, ToldAll};
use crate::link::Link;
use crate::observe;
use crate::seam::Wire;
use crate::shared::{Shared, State};
use crate::slot_leases::{Outgoing, SlotLeases};

/// Method of a report.
const REPORT: &str = "report";
/// Shortest time between two reports. What changes meanwhile goes into the next one.
const PACE: Duration = Duration::from_millis(5);
/// Longest time between two reports. Three of them fit into the time after which an instance's
/// waiting requests hold nobody else's back.
const BEAT: Duration = Duration::from_millis(130);
/// Shortest time between two questions for a snapshot.
const ASK_PACE: Duration = Duration::from_millis(200);
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// What a report shows that this instance lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Difference {
    /// Lists of the source that this instance copies from.
    Source,
    /// What this instance will not soon be told otherwise.
    Peer,
}

/// This instance's side of the talk.
pub(crate) struct Peers<W> {
    pub(crate) shared: Shared,
    pub(crate) wire: W,
    pub(crate) socket: UdpSocket,
    pub(crate) name: InstanceId,
    pub(crate) address: SocketAddr,
    /// Where this instance accepts requests of others.
    pub(crate) handover_port: u16,
    /// What the settings tell of addresses.
    pub(crate) audience: Audience,
    pub(crate) pool: h1::Pool,
    pub(crate) door: Arc<h1::Door>,
    /// Bytes of reports are counted with those of requests.
    pub(crate) meter: Arc<h1::LinkMeter>,
    /// Requests to peers for what they know.
    pub(crate) requests: Mutex<SnapshotRequests>,
    pub(crate) slot_leases: SlotLeases,
    /// When this instance may pass the configuration on.
    pub(crate) link: Mutex<Link>,
}

impl<W: Wire> Peers<W> {
    /// Reports what changes, and a beat when nothing does.
    pub(crate) async fn speak(self: Arc<Peers<W>>, changed: Receiver<()>, mut pacer: ReportPacer) {
        let mut beats: u64 = 0;
        let mut told = ToldAll::default();
        let now = clock::now();
        let mut beaten = now.checked_sub(BEAT).unwrap_or(now);
        loop {
            // A time-out is no fault here: it is time for a beat without a change.
            let _ =
                future::timeout(BEAT.saturating_sub(clock::since(beaten)), changed.recv()).await;
            let is_beat = clock::since(beaten) >= BEAT;
            if is_beat {
                beaten = clock::now();
                beats += 1;
            }
            let reach = match is_beat {
                true => Reach::of_beat(beats, self.is_alone() || self.has_returning_peer()),
                false => Reach::Cell,
            };
            let sent = self.report(reach, beats, &mut told).await;
            let now = clock::now();
            pacer.record_sent(now, sent);
            // Heartbeats go out in any case, since an instance without any counts as failed.
            let delay = pacer.delay(now).min(BEAT);
            if delay > PACE {
                observe::report_delayed(delay);
            }
            task::sleep(delay.max(PACE)).await;
        }
    }

    /// Whether nobody of the cell is heard.
    fn is_alone(&self) -> bool {
        self.shared.lock().cell.live_peer_count(clock::now()) == 0
    }

    /// Whether an instance of the cell has missed reports.
    fn has_returning_peer(&self) -> bool {
        self.shared.lock().cell.has_returning_peer(clock::now())
    }

    /// Reports once; returns the bytes sent.
    async fn report(&self, reach: Reach, beat: u64, told: &mut ToldAll) -> usize {
        let now = clock::now();
        let (report, far_report, addresses) = {
            let mut state = self.shared.lock();
            state.cell.expire_peers(now);
            let mut addresses = state.addresses(now, &self.audience, reach, beat);
            if reach != Reach::Cell {
                let moved = told.moved.due(&state, now, reach, beat).into_iter();
                addresses.far.extend(moved.filter(|address| !addresses.near.contains(address)));
            }
            let is_representative = state.is_representative(now);
            state.cell.set_representative(is_representative);
            told.represent(now, is_representative);
            let report = self.near_report(&mut state, now, reach, told);
            let far_report = (!addresses.far.is_empty())
                .then(|| self.far_report(&mut state, now, reach, told, &report));
            (report, far_report, addresses)
        };
        let mut sent = 0;
        if let Some(far_report) = far_report {
            told.spent.far.extend(far_report.cell_admitted_units.iter().cloned());
            told.evidence.far.extend(far_report.cell_evidence.iter().cloned());
            sent += self.send(&far_report, &addresses.far).await;
        }
        told.spent.near.extend(report.admitted_units.iter().cloned());
        told.evidence.near.extend(report.evidence.iter().cloned());
        if let Some(view) = &report.fleet_summary {
            told.spent.fleet.extend(view.admitted_units.iter().cloned());
            told.evidence.fleet.extend(view.evidence.iter().cloned());
        }
        sent + self.send(&report, &addresses.near).await
    }

    /// What the cell is told.
    fn near_report(&self, state: &mut State, now: Instant, reach: Reach, told: &ToldAll) -> Report {
        let mut report = state.cell.report(now, reach.extent());
        report.is_representative = state.is_representative(now);
        report.store_age_ms = state.sources.seen_ms(now);
        report.endpoints_age_ms = state.list_ms(now);
        if reach != Reach::Cell {
            report.config_age_ms = state.config_ms(now);
            report.handover_port = Some(self.handover_port);
            report.instances_digest = Some(state.roster());
        }
        report.endpoints_digest = state.world.digest();
        report.epoch = state.world.epoch();
        report.revision = state.world.revision();
        report.config_version = state.world.table().map_or(0, |t| t.version());
        report.address = Some(self.address);
        report.is_ready = state.world.is_loaded() && state.shutdown.is_none();
        report.is_stopping = state.shutdown.is_some();
        report.isolated_services = state.isolated_services();
        report.has_store = state.has_store() && !self.door.is_closing();
        let quotas = &state.admission.quotas;
        // They change all the time, so only heartbeats contain them.
        let free_slots = || match reach {
            Reach::Cell => Vec::new(),
            _ => state.overflow.to_forward(now, &state.zone, &state.group.other_cells),
        };
        if reach != Reach::Cell || quotas.is_near_limit() {
            report.admitted_units = changed(quotas.local_totals(), &told.spent.near, reach);
            report.evidence = changed(state.rollouts.local_counters(), &told.evidence.near, reach);
            report.fleet_summary = report.is_representative.then(|| FleetSummary {
                remote_instances: state.beyond(now),
                admitted_units: changed(quotas.other_cells_totals(), &told.spent.fleet, reach),
                recent_units: told.lately(now, || quotas.other_cells_recent(now)),
                evidence: changed(state.rollouts.remote_counters(), &told.evidence.fleet, reach),
                free_slots: free_slots(),
                is_complete: reach.is_full() || told.has_just_begun(now),
            });
        }
        if reach != Reach::Cell {
            report.rollouts = state.rollouts.make_records(now, PeerLocation::SameCell);
        }
        if reach != Reach::Cell && state.cell.has_newcomer(now) {
            report.usage_windows = state.admission.quotas.window_usage(now);
        }
        report.streams = state.streams_to_report(now, reach != Reach::Cell);
        let passes_on = state.group.cell_count <= 1 || report.is_representative;
        report.quarantine = state.quarantine.make_update(now, reach.extent(), passes_on);
        if reach.is_full() {
            let others = state.cell.remote_reports(now).filter(|r| r.is_representative);
            report.representative_addresses = others.filter_map(|r| r.address).collect();
        }
        report
    }

    /// What other cells are told: no more than versions and sums.
    fn far_report(
        &self,
        state: &mut State,
        now: Instant,
        reach: Reach,
        told: &ToldAll,
        near: &Report,
    ) -> Report {
        let is_representative = near.is_representative;
        let free_slots = match is_representative && state.features().overflow {
            true => state.cell.free_slots(now),
            false => Vec::new(),
        };
        let quotas = &state.admission.quotas;
        let (mut cell_spent, mut cell_evidence) = (Vec::new(), Vec::new());
        if is_representative {
            cell_spent = changed(quotas.cell_totals(), &told.spent.far, reach);
            cell_evidence = changed(state.rollouts.cell_counters(), &told.evidence.far, reach);
        }
        let peers = match reach {
            Reach::First { introduces: true } if state.is_new_fleet() => known(state, now),
            _ => near.representative_addresses.clone(),
        };
        Report {
            instance: near.instance.clone(),
            zone: near.zone.clone(),
            incarnation: near.incarnation,
            sequence: near.sequence,
            epoch: near.epoch,
            revision: near.revision,
            config_version: near.config_version,
            address: near.address,
            store_age_ms: near.store_age_ms,
            config_age_ms: near.config_age_ms,
            endpoints_digest: near.endpoints_digest,
            has_store: near.has_store,
            is_ready: near.is_ready,
            is_stopping: near.is_stopping,
            isolated_services: near.isolated_services.clone(),
            handover_port: near.handover_port,
            reachable_count: near.reachable_count,
            cell_ready: state.near_ready(now) as u32 + u32::from(near.is_ready),
            is_representative,
            loads: state.moved_loads(&near.loads),
            has_all_cell_counters: is_representative
                && (reach.is_full() || told.has_just_begun(now)),
            cell_index: state.group.cell_index as u32,
            cell_admitted_units: cell_spent,
            cell_recent_units: told.lately(now, || quotas.cell_recent(now)),
            cell_evidence,
            free_slots,
            rollouts: state.rollouts.make_records(now, PeerLocation::OtherCell),
            quarantine: near.quarantine.clone(),
            endpoint_notices: state.cell.signals_for_other_cells(now),
            representative_addresses: peers,
            ..Report::default()
        }
    }

    /// Sends a report; returns the bytes sent.
    async fn send(&self, report: &Report, addresses: &BTreeSet<SocketAddr>) -> usize {
        let notification = Notification::new(Cow::Borrowed(REPORT), report);
        let datagram = match serde_json::to_vec(&notification) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::error!("event=report_not_written error=\"{e}\"");
                return 0;
            }
        };
        for address in addresses {
            self.note_sent(datagram.len());
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                log::debug!("event=report_not_sent address={address} error=\"{e}\"");
            }
        }
        datagram.len() * addresses.len()
    }

    fn note_sent(&self, bytes: usize) {
        self.meter.add_sent(bytes);
        self.meter.add_report_sent(bytes);
        observe::reported("out", bytes);
    }

    /// Takes in the others' reports.
    pub(crate) async fn listen(self: Arc<Peers<W>>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut asked = clock::now();
        let mut behind_since: Option<Instant> = None;
        loop {
            let (n, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    log::debug!("event=report_not_received error=\"{e}\"");
                    task::sleep(PACE).await;
                    continue;
                }
            };
            self.meter.add_received(n);
            observe::reported("in", n);
            let now = clock::now();
            let report = match serde_json::from_slice::<Notification<'_, Report>>(&buf[..n]) {
                Ok(notification) if notification.method == REPORT => notification.params,
                Ok(notification) => {
                    log::warn!("event=report_unknown from={from} method={}", notification.method);
                    continue;
                }
                Err(e) => {
                    match slot_notification(&buf[..n]) {
                        Some(notification) => self.slot_leases.receive(now, notification),
                        None => log::warn!("event=report_unreadable from={from} error=\"{e}\""),
                    }
                    continue;
                }
            };
            self.slot_leases.record_heard(now, &report.instance);
            let difference = self.compare(&report);
            let reporter = report.address.map(|address| (report.instance.clone(), address));
            self.shared.hear(now, report);
            let is_source = difference == Some(Difference::Source);
            if difference.is_none() {
                continue;
            }
            let since = *behind_since.get_or_insert(now);
            // Who follows the store will be told by it.
            let is_told = !is_source && self.follows_store();
            let patience = if is_told { ASK_PACE } else { Duration::ZERO };
            if now.duration_since(since) < patience || now.duration_since(asked) < ASK_PACE {
                continue;
            }
            // Only the source has the lists that are copied.
            let chosen = if is_source { reporter } else { self.choose_peer(now) };
            let Some((peer, address)) = chosen else { continue };
            (asked, behind_since) = (now, None);
            task::spawn(self.clone().request_snapshot(peer, address));
        }
    }

    /// Sends messages about slot leases.
    pub(crate) async fn send_slot_messages(self: Arc<Peers<W>>, messages: Receiver<Outgoing>) {
        while let Ok(Outgoing { to, notification }) = messages.recv().await {
            let notification = Notification::new(Cow::Borrowed(slot_leases::METHOD), notification);
            let datagram = match serde_json::to_vec(&notification) {
                Ok(datagram) => datagram,
                Err(e) => {
                    log::error!("event=slot_message_not_written error=\"{e}\"");
                    continue;
                }
            };
            self.note_sent(datagram.len());
            if let Err(e) = self.socket.send_to(&datagram, to).await {
                log::debug!("event=slot_message_not_sent address={to} error=\"{e}\"");
            }
        }
    }

    /// Compares what the sender of a report knows with what this instance does; returns what there is to ask for.
    fn compare(&self, report: &Report) -> Option<Difference> {
        let now = clock::now();
        let mut state = self.shared.lock();
        state.compare(now, report);
        if state.sources.is(&report.instance) {
            let is_other = state.has_other_endpoints(report);
            state.sources.compared(now, &report.instance, is_other);
            // Cells are worked out from the instances, so all of a cell go by one list of them.
            let is_other_fleet =
                report.instances_digest.is_some_and(|roster| roster != state.roster());
            if is_other || is_other_fleet {
                return Some(Difference::Source);
            }
        }
        let knows_more = state.has_newer_config(report) || state.has_newer_lists(report);
        knows_more.then_some(Difference::Peer)
    }

    /// Whether the store tells this instance what is new.
    fn follows_store(&self) -> bool {
        let state = self.shared.lock();
        state.sources.is_store() && !state.world.is_cut_off()
    }
}

/// Reads a message about slot leases. It lacks the fields that every report has, so a datagram is
/// read as a report first: reports are a hundred times as many.
fn slot_notification(datagram: &[u8]) -> Option<SlotNotification> {
    let notification: Notification<'_, SlotNotification> = serde_json::from_slice(datagram).ok()?;
    (notification.method == slot_leases::METHOD).then_some(notification.params)
}
