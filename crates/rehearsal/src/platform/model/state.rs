//! The platform model itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use displaydoc::Display;
use fastrand::Rng;
use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use havengate_node::platform::dialect::MachineEntry;

use super::config::{Availability, PlatformFaults, PlatformModelConfig};
use super::history::{PlatformHistory, WriteRecord};
use super::machines::MachineList;
use super::objects::{Objects, Write};

/// Identifies a call that the platform has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why the platform does not take a call; it has had no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum PlatformRefusal {
    /// the platform is down
    Down,
    /// too many watches are open
    TooManyReaders,
}

/// A wait for a change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The object.
    pub key: ObjectKey,
    /// The revision that the reader knows.
    pub after: Revision,
    /// How long it waits at most.
    pub wait: Duration,
}

/// A reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformOutput {
    /// When it leaves.
    pub at: Timestamp,
    /// The call that it answers.
    pub call: CallId,
    /// The reply.
    pub event: PlatformEvent,
}

/// What the platform answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// The reply to a read or a write.
    Reply(StoreReply),
    /// The object's revision is higher than the reader knew.
    Changed(StoredObject),
    /// The object has not changed in the time of the watch.
    Unchanged,
    /// The platform went down while it had the call.
    Dropped,
}

/// Something that the platform does at a later time.
#[derive(Debug)]
enum Task {
    /// Lets a write take effect.
    Apply(CallId, Write),
    /// Lets the readers of an object see its change.
    Show(ObjectKey),
    /// Ends a watch whose time is over.
    EndWatch(CallId),
    /// Sends a reply.
    Send(CallId, PlatformEvent),
}

/// The platform in virtual time.
///
/// Time never goes back: each call's `now` is at least that of the call before.
#[derive(Debug)]
pub struct PlatformModel {
    config: PlatformModelConfig,
    faults: PlatformFaults,
    random: Rng,
    objects: Objects,
    machines: MachineList,
    watches: BTreeMap<CallId, Watch>,
    calls: u64,
    tasks: BTreeMap<(Timestamp, u64), Task>,
    tasks_added: u64,
    outputs: Vec<PlatformOutput>,
    history: PlatformHistory,
}

impl PlatformModel {
    /// A platform without objects and machines.
    pub fn new(config: PlatformModelConfig) -> Self {
        PlatformModel {
            faults: PlatformFaults::default(),
            random: Rng::with_seed(config.seed),
            objects: Objects::new(config.versions_maximum),
            machines: MachineList::new(config.machine_list_lag),
            watches: BTreeMap::new(),
            calls: 0,
            tasks: BTreeMap::new(),
            tasks_added: 0,
            outputs: Vec::new(),
            history: PlatformHistory::new(config.history_maximum),
            config,
        }
    }

    /// The writes that took effect.
    pub fn history(&self) -> &PlatformHistory {
        &self.history
    }

    /// The faults that are in force.
    pub fn faults(&self) -> PlatformFaults {
        self.faults
    }

    /// The object as it truly is.
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.current(key)
    }

    /// Watches that are open.
    pub fn open_watches(&self) -> usize {
        self.watches.len()
    }

    /// Changes the faults from now on. A platform that goes down drops its watches.
    pub fn set_faults(&mut self, faults: PlatformFaults, now: Timestamp) {
        self.work_until(now);
        self.faults = faults;
        if faults.availability == Availability::Up {
            let watched: BTreeSet<ObjectKey> = self.watches.values().map(|watch| watch.key.clone()).collect();
            watched.iter().for_each(|key| self.show(key, now));
            return;
        }
        for call in std::mem::take(&mut self.watches).into_keys() {
            if faults.availability == Availability::Refusing {
                self.outputs.push(PlatformOutput { at: now, call, event: PlatformEvent::Dropped });
            }
        }
    }

    /// Takes a read or a write; its reply, unless it is lost, comes from [`PlatformModel::advance`].
    ///
    /// # Errors
    /// When the platform refuses the call.
    pub fn submit(&mut self, request: StoreRequest, now: Timestamp) -> Result<CallId, PlatformRefusal> {
        let Some(call) = self.take_call(now)? else { return Ok(self.next_call()) };
        match request {
            StoreRequest::Read { key } => {
                let object = self.objects.at_age(&key, self.faults.read_age, now).cloned();
                self.reply(call, PlatformEvent::Reply(StoreReply::Object(object)), now);
            }
            StoreRequest::CompareAndSet { key, expected, operation, value } => {
                let write = Write { key, expected, operation, value };
                self.add_task(now + self.faults.write_delay, Task::Apply(call, write));
            }
        }
        Ok(call)
    }

    /// Opens a watch; it ends with one reply from [`PlatformModel::advance`].
    ///
    /// # Errors
    /// When the platform refuses the call.
    pub fn watch(&mut self, watch: Watch, now: Timestamp) -> Result<CallId, PlatformRefusal> {
        let Some(call) = self.take_call(now)? else { return Ok(self.next_call()) };
        if self.watches.len() >= self.config.watches_maximum {
            return Err(PlatformRefusal::TooManyReaders);
        }
        self.add_task(now + watch.wait, Task::EndWatch(call));
        let key = watch.key.clone();
        self.watches.insert(call, watch);
        self.show(&key, now);
        Ok(call)
    }

    /// Closes a watch whose reader is gone.
    pub fn close_watch(&mut self, call: CallId, now: Timestamp) {
        self.work_until(now);
        self.watches.remove(&call);
    }

    /// The list of machines as it was a while ago.
    ///
    /// # Errors
    /// When the platform is down. A silent platform refuses too: the driver lets the caller wait.
    pub fn machines(&mut self, now: Timestamp) -> Result<Vec<MachineEntry>, PlatformRefusal> {
        self.take_call(now)?.ok_or(PlatformRefusal::Down)?;
        Ok(self.machines.read(now))
    }

    /// Adds a machine to the true list, or changes it there.
    pub fn set_machine(&mut self, machine: MachineEntry, now: Timestamp) {
        self.machines.change(now, |machines| drop(machines.insert(machine.address, machine)));
    }

    /// Takes a machine off the true list.
    pub fn remove_machine(&mut self, address: Address, now: Timestamp) {
        self.machines.change(now, |machines| drop(machines.remove(&address)));
    }

    /// When [`PlatformModel::advance`] has something to hand out or to do.
    pub fn next_event(&self) -> Option<Timestamp> {
        let output = self.outputs.first().map(|output| output.at);
        output.or_else(|| self.tasks.keys().next().map(|(at, _)| *at))
    }

    /// Lets the platform work up to `now` and hands out its replies, in the order of time.
    pub fn advance(&mut self, now: Timestamp) -> Vec<PlatformOutput> {
        self.work_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// The identity of a call that the platform takes up; `None` when it is silent.
    fn take_call(&mut self, now: Timestamp) -> Result<Option<CallId>, PlatformRefusal> {
        self.work_until(now);
        match self.faults.availability {
            Availability::Up => Ok(Some(self.next_call())),
            Availability::Refusing => Err(PlatformRefusal::Down),
            Availability::Silent => Ok(None),
        }
    }

    fn next_call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    fn add_task(&mut self, at: Timestamp, task: Task) {
        self.tasks_added += 1;
        self.tasks.insert((at, self.tasks_added), task);
    }

    fn reply(&mut self, call: CallId, event: PlatformEvent, now: Timestamp) {
        self.add_task(now + self.faults.reply_delay, Task::Send(call, event));
    }

    fn work_until(&mut self, now: Timestamp) {
        while let Some(entry) = self.tasks.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), task) = entry.remove_entry();
            self.perform(task, at);
        }
    }

    fn perform(&mut self, task: Task, now: Timestamp) {
        match task {
            Task::Apply(call, write) => self.apply(call, write, now),
            Task::Show(key) => self.show(&key, now),
            Task::EndWatch(call) => {
                if self.watches.remove(&call).is_some() {
                    self.reply(call, PlatformEvent::Unchanged, now);
                }
            }
            Task::Send(call, event) => self.outputs.push(PlatformOutput { at: now, call, event }),
        }
    }

    fn apply(&mut self, call: CallId, write: Write, now: Timestamp) {
        let (key, operation, value) = (write.key.clone(), write.operation, write.value.clone());
        let reply = match self.objects.compare_and_set(write, now) {
            Ok(revision) => {
                self.history.add(WriteRecord { at: now, key: key.clone(), revision, operation, value });
                self.add_task(now + self.faults.read_age, Task::Show(key));
                StoreReply::Written(revision)
            }
            Err(current) => StoreReply::Conflict(current),
        };
        if self.random.f64() >= self.faults.lost_write_replies {
            self.reply(call, PlatformEvent::Reply(reply), now);
        }
    }

    /// Answers the watches of `key` whose readers can see a higher revision than they know.
    fn show(&mut self, key: &ObjectKey, now: Timestamp) {
        let Some(object) = self.objects.at_age(key, self.faults.read_age, now).cloned() else { return };
        let is_answered = |watch: &Watch| watch.key == *key && watch.after < object.revision;
        let answered: Vec<CallId> =
            self.watches.iter().filter(|(_, watch)| is_answered(watch)).map(|(call, _)| *call).collect();
        for call in answered {
            self.watches.remove(&call);
            self.reply(call, PlatformEvent::Changed(object.clone()), now);
        }
    }
}
