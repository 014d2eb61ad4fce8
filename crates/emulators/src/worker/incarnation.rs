//! State of one process of a worker: its loaded functions, the invocations that it runs, and its capacity.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::lock::Semaphore;

use super::index::{LoadedFunctionInfo, OrderIssuer};
use super::prefix_cache::{PrefixCache, PrefixMatch, Sequence};
use super::usage::SharedTime;
use super::{InvocationProfile, WorkerProfile};
use crate::Log;

/// State of a function in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadState {
    Loading,
    Ready,
}

/// A function in memory. A function whose load failed is removed at once.
struct LoadedFunction {
    /// One permit per invocation that may run concurrently; no permits while loading.
    lanes: Arc<Semaphore>,
    copies: usize,
    memory_mb: f64,
    /// Number of invocations that wait for the function or run on it, and of other users (`set_unseen_user`).
    users: usize,
    last_used: Instant,
    state: LoadState,
    active_time: SharedTime,
    /// The issuer of the last load order that named its issuer.
    ordered_by: OrderIssuer,
    prefixes: PrefixCache,
}

/// State in which an invocation found its function, as reported in the response header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// The function was loaded.
    Ready,
    /// This invocation began the load.
    LoadBegun,
    /// A load was in progress.
    LoadAwaited,
}

impl CopyState {
    /// The value in the `cedarpulley-copy` header.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CopyState::Ready => "found",
            CopyState::LoadBegun => "began",
            CopyState::LoadAwaited => "waited",
        }
    }
}

/// The result of looking up a function to run on.
pub(super) enum Lookup {
    Found {
        lanes: Arc<Semaphore>,
        state: CopyState,
    },
    /// Too little memory or no load slot is free, or the worker has no process.
    NoCapacity,
    /// The function is not loaded, and the caller may not load it.
    Absent,
}

/// Usage of a function by an account, in byte-microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsageTotals {
    pub(super) running: u128,
    pub(super) loading: u128,
    pub(super) idle: u128,
}

/// State of one process of a worker.
pub(super) struct Incarnation {
    /// Random id that is unique to this process.
    id: u64,
    began: Instant,
    /// The process was not started by a restart and has no slow start.
    warm: bool,
    functions: HashMap<String, LoadedFunction>,
    /// Number of loads in progress.
    loads: usize,
    /// Number of running invocations.
    running: usize,
    /// Number of waiting invocations.
    waiting: usize,
    /// Arrivals within the overload window, with their work.
    arrivals: VecDeque<(Instant, Duration)>,
    /// By account and function.
    usage: HashMap<(String, String), UsageTotals>,
}

impl Incarnation {
    pub(super) fn new(warm: bool) -> Self {
        Incarnation {
            began: Instant::now(),
            warm,
            functions: HashMap::new(),
            loads: 0,
            running: 0,
            waiting: 0,
            arrivals: VecDeque::new(),
            id: rand::random::<u64>() >> 1,
            usage: HashMap::new(),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Age of the process; absent if it was not started by a restart.
    pub(super) fn age_since_restart(&self) -> Option<Duration> {
        (!self.warm).then(|| self.began.elapsed())
    }

    /// Share of the cores that are available now; grows to 1 during slow start.
    fn slow_start_progress(&self, profile: &WorkerProfile) -> f64 {
        if self.warm {
            return 1.0;
        }
        let age = self.began.elapsed().as_secs_f64() / profile.slow_start.as_secs_f64().max(1e-9);
        profile.slow_start_share + (1.0 - profile.slow_start_share) * age.min(1.0)
    }

    /// Number of cores that each running invocation gets, at most one.
    pub(super) fn pace(&self, profile: &WorkerProfile) -> f64 {
        let cores = profile.cores * self.slow_start_progress(profile);
        (cores / self.running.max(1) as f64).min(1.0)
    }

    /// Share of the cores in use, as given in the load report.
    pub(super) fn utilization(&self, profile: &WorkerProfile) -> f64 {
        (self.running as f64 / profile.cores).min(1.0)
    }

    /// Records an arrival; returns true if it overloads a worker in slow start.
    pub(super) fn overloaded_by(&mut self, work: Duration, profile: &WorkerProfile) -> bool {
        let now = Instant::now();
        self.arrivals.push_back((now, work));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now - *at > profile.overload_window)
        {
            self.arrivals.pop_front();
        }
        if self.warm || self.began.elapsed() >= profile.slow_start {
            return false;
        }
        let arrived: f64 = self.arrivals.iter().map(|(_, w)| w.as_secs_f64()).sum();
        arrived
            > profile.overload_multiple
                * profile.cores
                * self.slow_start_progress(profile)
                * profile.overload_window.as_secs_f64()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    pub(super) fn in_flight(&self) -> usize {
        self.running + self.waiting
    }

    /// Counts an invocation as waiting; returns the number of users that its function already had.
    pub(super) fn enqueue(&mut self, function: &str) -> usize {
        self.waiting += 1;
        let users = self.functions.get(function).map_or(0, |f| f.users);
        self.add_user(function);
        users
    }

    pub(super) fn dequeue(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(super) fn add_user(&mut self, function: &str) {
        if let Some(function) = self.functions.get_mut(function) {
            function.users += 1;
        }
    }

    pub(super) fn remove_user(&mut self, function: &str) {
        if let Some(function) = self.functions.get_mut(function) {
            function.users = function.users.saturating_sub(1);
            function.last_used = Instant::now();
        }
    }

    /// Adds, or removes, a user of the function that no router knows of. Returns false if the function is not ready.
    pub(super) fn set_unseen_user(&mut self, function: &str, present: bool) -> bool {
        let Some(function) = self
            .functions
            .get_mut(function)
            .filter(|f| f.state == LoadState::Ready)
        else {
            return false;
        };
        function.users = if present {
            function.users + 1
        } else {
            function.users.saturating_sub(1)
        };
        function.last_used = Instant::now();
        true
    }

    pub(super) fn begin_running(&mut self) {
        self.running += 1;
    }

    pub(super) fn end_running(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Looks up a function. If it is absent and `may_load` is set, makes room for it and counts a load, which the
    /// caller has to execute (`CopyState::LoadBegun`).
    pub(super) fn find_or_begin_load(
        &mut self,
        function: &str,
        program: &InvocationProfile,
        may_load: bool,
        profile: &WorkerProfile,
        log: &Log,
    ) -> Lookup {
        if let Some(found) = self.functions.get_mut(function) {
            found.last_used = Instant::now();
            let state = match found.state {
                LoadState::Loading => CopyState::LoadAwaited,
                LoadState::Ready => CopyState::Ready,
            };
            let lanes = found.lanes.clone();
            return Lookup::Found { lanes, state };
        }
        if !may_load {
            return Lookup::Absent;
        }
        if self.loads >= profile.max_loads
            || !self.make_room(program.copy_mb, profile.memory_mb, log)
        {
            return Lookup::NoCapacity;
        }
        let lanes = Arc::new(Semaphore::new(0));
        let now = Instant::now();
        let loading = LoadedFunction {
            lanes: lanes.clone(),
            copies: 1,
            memory_mb: program.copy_mb,
            users: 0,
            last_used: now,
            state: LoadState::Loading,
            active_time: SharedTime::new(now),
            ordered_by: OrderIssuer::default(),
            prefixes: PrefixCache::default(),
        };
        self.functions.insert(function.to_owned(), loading);
        self.loads += 1;
        Lookup::Found {
            lanes,
            state: CopyState::LoadBegun,
        }
    }

    /// Evicts idle functions, least recently used first, until `needed_mb` is free; returns false if that is
    /// impossible.
    fn make_room(&mut self, needed_mb: f64, memory_mb: f64, log: &Log) -> bool {
        let mut used = self.memory_used_mb();
        while used + needed_mb > memory_mb {
            let idle = self
                .functions
                .iter()
                .filter(|(_, f)| f.users == 0 && f.state == LoadState::Ready);
            let Some(oldest) = idle
                .min_by_key(|(_, f)| f.last_used)
                .map(|(name, _)| name.clone())
            else {
                return false;
            };
            used -= self.functions.remove(&oldest).map_or(0.0, |f| f.memory_mb);
            log.write("evicted", json!({"function": oldest, "why": "room"}));
        }
        true
    }

    pub(super) fn memory_used_mb(&self) -> f64 {
        self.functions.values().map(|f| f.memory_mb).sum::<f64>()
    }

    /// Counts a load as ended.
    pub(super) fn count_load_ended(&mut self) {
        self.loads = self.loads.saturating_sub(1);
    }

    /// Makes a loaded function ready, or removes it if its load failed, and wakes the tasks that wait for it. Returns
    /// the number of its lanes and the issuer of the order, or nothing if the function is not in memory any more.
    pub(super) fn conclude_load(
        &mut self,
        function: &str,
        program: &InvocationProfile,
        fetched: bool,
        profile: &WorkerProfile,
    ) -> Option<(usize, OrderIssuer)> {
        let loaded = self.functions.get_mut(function)?;
        loaded.state = LoadState::Ready;
        loaded.active_time.restart();
        let lanes = program.lanes * loaded.copies;
        // After a failed load all waiting invocations get a permit; they then find the function absent.
        loaded
            .lanes
            .add_permits(if fetched { lanes } else { profile.max_waiting });
        let ordered_by = loaded.ordered_by.clone();
        if !fetched {
            self.functions.remove(function);
        }
        Some((lanes, ordered_by))
    }

    pub(super) fn is_ready(&self, function: &str) -> bool {
        self.functions
            .get(function)
            .is_some_and(|f| f.state == LoadState::Ready)
    }

    pub(super) fn set_order_issuer(&mut self, function: &str, ordered_by: OrderIssuer) {
        if let Some(function) = self.functions.get_mut(function) {
            function.ordered_by = ordered_by;
        }
    }

    /// Removes the selected functions that are idle; returns their names, sorted.
    pub(super) fn remove_idle(&mut self, selects: impl Fn(&str) -> bool) -> Vec<String> {
        let mut removed: Vec<String> = Vec::new();
        self.functions.retain(|name, f| {
            let stays = !selects(name) || f.users > 0 || f.state == LoadState::Loading;
            if !stays {
                removed.push(name.clone());
            }
            stays
        });
        removed.sort();
        removed
    }

    /// The functions in memory, sorted by name.
    pub(super) fn loaded_functions(&self) -> Vec<LoadedFunctionInfo> {
        let mut all: Vec<LoadedFunctionInfo> =
            self.functions.iter().map(|(n, f)| f.info(n)).collect();
        all.sort_by(|a, b| a.function.cmp(&b.function));
        all
    }

    pub(super) fn match_prefix(&self, function: &str, sequence: &Sequence) -> Option<PrefixMatch> {
        Some(self.functions.get(function)?.prefixes.lookup(sequence))
    }

    pub(super) fn store_prefix(&mut self, function: &str, sequence: &Sequence) {
        if let Some(function) = self.functions.get_mut(function) {
            function.prefixes.update(sequence);
        }
    }

    /// The active time of a function, which invocations join and leave.
    pub(super) fn active_time(&mut self, function: &str) -> Option<&mut SharedTime> {
        Some(&mut self.functions.get_mut(function)?.active_time)
    }

    pub(super) fn usage_mut(&mut self, account: &str, function: &str) -> &mut UsageTotals {
        self.usage
            .entry((account.to_owned(), function.to_owned()))
            .or_default()
    }

    pub(super) fn usage(&self, account: &str, function: &str) -> UsageTotals {
        let key = (account.to_owned(), function.to_owned());
        self.usage.get(&key).copied().unwrap_or_default()
    }
}

impl LoadedFunction {
    fn info(&self, name: &str) -> LoadedFunctionInfo {
        LoadedFunctionInfo {
            function: name.to_owned(),
            state: match self.state {
                LoadState::Loading => "LOADING",
                LoadState::Ready => "READY",
            },
            copies: self.copies,
            busy: self.users,
            idle_us: if self.users > 0 {
                0
            } else {
                self.last_used.elapsed().as_micros() as u64
            },
            ordered_by: self.ordered_by.clone(),
            sequences: self.prefixes.ids(),
        }
    }
}
