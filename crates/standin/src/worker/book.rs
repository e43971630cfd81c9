//! What a worker knows: its epoch, its lease, its attempts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use contract::Attempt;
use contract::Call;
use contract::Drain;
use contract::Health;
use contract::Lease;
use contract::Moment;
use contract::Reason;
use contract::Refusal;
use contract::Renew;
use contract::Report;
use contract::Serving;
use contract::Start;
use contract::Target;
use fleet::config;
use fleet::job::Total;
use fleet::time::Time;
use http::Response;

use super::Faults;
use super::Ledger;
use super::Settings;
use super::run::Run;

/// What a worker knows.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) faults: Faults,
    pub(super) ledger: Ledger,
    pub(super) draining: bool,
    pub(super) in_flight: u32,
    boot: u64,
    started: Time,
    epoch: u64,
    lease: Lease,
    longest_ms: u32,
    runs: BTreeMap<String, Run>,
    /// Attempts that were refused or forgotten, until no copy of their start can hold.
    closed: BTreeSet<(u64, String, u32)>,
}

impl Book {
    pub(super) fn new(boot: u64) -> Self {
        Self {
            faults: Faults::default(),
            ledger: Ledger::default(),
            draining: false,
            in_flight: 0,
            boot,
            started: Time::ZERO,
            epoch: 0,
            lease: Lease::default(),
            longest_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    pub(super) fn restart(&mut self, now: Time) {
        let (faults, ledger) = (self.faults, std::mem::take(&mut self.ledger));
        *self = Self { faults, ledger, started: now, ..Self::new(self.boot + 1) };
    }

    pub(super) fn running(&mut self, now: Time) -> usize {
        self.advance(now);
        self.runs.values().filter(|run| !run.phase.is_over()).count()
    }

    pub(super) fn answer(&mut self, settings: &Settings, call: Call, now: Time) -> Response {
        self.advance(now);
        match call {
            Call::Health => contract::answer(Ok(self.health(now))),
            Call::Report => contract::answer(Ok(self.report(now))),
            Call::Drain(drain) => contract::answer(self.drain(drain, now)),
            Call::Renew(renew) => contract::answer(self.renew(renew, now)),
            Call::Start(start) => contract::answer(self.start(settings, &start, now)),
            Call::Throttle(throttle) => {
                let ignores = self.faults.ignores_throttles;
                contract::answer(self.change(&throttle.target, |run| {
                    if !ignores {
                        run.throttle(throttle.to);
                    }
                }))
            }
            Call::Checkpoint(target) => {
                let ignores = self.faults.ignores_checkpoints;
                let at_ms = now.as_millis() + settings.checkpoint_ms;
                contract::answer(self.change(&target, |run| {
                    if !ignores {
                        run.begin_checkpoint(at_ms);
                    }
                }))
            }
            Call::Stop(target) => {
                contract::answer(self.change(&target, |run| run.phase = contract::Phase::Stopped))
            }
            Call::Forget(target) => contract::answer(self.forget(&target, now)),
        }
    }

    fn advance(&mut self, now: Time) {
        let moment = self.moment(now);
        let lapsed = !self.lease.is_valid_at(moment) && !self.faults.outlives_lease;
        for run in self.runs.values_mut() {
            run.advance(now, lapsed);
        }
        let keep = self.closed.split_off(&(moment.uptime_ms, String::new(), 0));
        self.closed = keep;
    }

    fn moment(&self, now: Time) -> Moment {
        let uptime = now.since(self.started).as_millis();
        Moment { boot: self.boot, uptime_ms: u64::try_from(uptime).unwrap_or(u64::MAX) }
    }

    fn serving(&self) -> Serving {
        if self.draining { Serving::Draining } else { Serving::Open }
    }

    fn health(&self, now: Time) -> Health {
        let (epoch, in_flight) = (self.epoch, self.in_flight);
        Health { epoch, serving: self.serving(), now: self.moment(now), in_flight }
    }

    fn report(&self, now: Time) -> Report {
        let attempts = self.runs.iter().map(|(job, run)| run.report(job, self.faults));
        Report {
            epoch: self.epoch,
            serving: self.serving(),
            now: self.moment(now),
            age_ms: self.faults.lag_ms,
            in_flight: self.in_flight,
            attempts: attempts.collect(),
        }
    }

    fn check_epoch(&mut self, epoch: u64) -> Result<(), Refusal> {
        if epoch < self.epoch {
            return Err(self.refusal(Reason::OldEpoch, "told a later epoch before"));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn check_lease(&self, lease: Lease, now: Time) -> Result<(), Refusal> {
        if lease.from.boot != self.boot {
            return Err(self.refusal(Reason::OtherBoot, "the lease is of another start"));
        }
        if !lease.is_valid_at(self.moment(now)) {
            return Err(self.refusal(Reason::LeaseLapsed, "the lease had lapsed on arrival"));
        }
        Ok(())
    }

    fn drain(&mut self, drain: Drain, now: Time) -> Result<Health, Refusal> {
        self.check_epoch(drain.epoch)?;
        self.draining = drain.draining;
        Ok(self.health(now))
    }

    fn renew(&mut self, renew: Renew, now: Time) -> Result<Health, Refusal> {
        self.check_epoch(renew.epoch)?;
        self.check_lease(renew.lease, now)?;
        self.extend(renew.lease);
        Ok(self.health(now))
    }

    fn extend(&mut self, lease: Lease) {
        self.longest_ms = self.longest_ms.max(lease.length_ms);
        if lease.expires_at_ms() > self.lease.expires_at_ms() || self.lease.from.boot != self.boot {
            self.lease = lease;
        }
    }

    fn start(&mut self, settings: &Settings, start: &Start, now: Time) -> Result<Attempt, Refusal> {
        if start.lease.from.boot != self.boot {
            return Err(self.refusal(Reason::OtherBoot, "the lease is of another start"));
        }
        self.longest_ms = self.longest_ms.max(start.lease.length_ms);
        match self.runs.get(&start.job) {
            Some(run) if run.number == start.number => {
                return Ok(run.report(&start.job, self.faults));
            }
            Some(run) if run.number > start.number => {
                return Err(self.refusal(Reason::OldAttempt, "a later attempt is known"));
            }
            _ => {}
        }
        self.accept(settings, start, now).inspect_err(|_| self.close(&start.job, start.number, now))
    }

    fn accept(
        &mut self,
        settings: &Settings,
        start: &Start,
        now: Time,
    ) -> Result<Attempt, Refusal> {
        let is_closed =
            |(_, job, number): &(u64, String, u32)| *job == start.job && *number >= start.number;
        if self.closed.iter().any(is_closed) {
            return Err(self.refusal(Reason::OldAttempt, "it was refused or is over"));
        }
        self.check_epoch(start.epoch)?;
        self.check_lease(start.lease, now)?;
        if self.draining {
            return Err(self.refusal(Reason::Draining, "takes no new work"));
        }
        if !self.has_room(settings, start.size.into()) {
            return Err(self.refusal(Reason::NoRoom, "does not fit beside what runs"));
        }
        self.extend(start.lease);
        self.ledger.enter(&start.job, start.number, start.checkpoint.is_none());
        let run = Run::new(settings, start, self.faults, now);
        let report = run.report(&start.job, self.faults);
        self.runs.insert(start.job.clone(), run);
        Ok(report)
    }

    fn has_room(&self, settings: &Settings, size: config::Size) -> bool {
        let mut given = Total::from(size);
        for run in self.runs.values().filter(|run| !run.phase.is_over()) {
            given.add(run.size.into());
        }
        given.fits_in(settings.capacity.into())
    }

    fn change(
        &mut self,
        target: &Target,
        change: impl FnOnce(&mut Run),
    ) -> Result<Attempt, Refusal> {
        self.check_epoch(target.epoch)?;
        let Some(run) = self.runs.get_mut(&target.job).filter(|run| run.number == target.number)
        else {
            return Err(self.refusal(Reason::NoSuchAttempt, "not known here"));
        };
        if !run.phase.is_over() {
            change(run);
        }
        Ok(run.report(&target.job, self.faults))
    }

    fn forget(&mut self, target: &Target, now: Time) -> Result<Attempt, Refusal> {
        let attempt = self.change(target, |_| {})?;
        if !attempt.phase.is_over() {
            return Err(self.refusal(Reason::NotPossible, "the attempt is not over"));
        }
        self.runs.remove(&target.job);
        self.close(&target.job, target.number, now);
        Ok(attempt)
    }

    /// Refuses an attempt from now on, for as long as a copy of its start could hold.
    fn close(&mut self, job: &str, number: u32, now: Time) {
        let until = self.moment(now).uptime_ms + u64::from(self.longest_ms);
        self.closed.insert((until, job.to_owned(), number));
    }

    fn refusal(&self, reason: Reason, detail: &str) -> Refusal {
        Refusal::new(reason, self.epoch, detail)
    }
}
