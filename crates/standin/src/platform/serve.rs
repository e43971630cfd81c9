//! The platform's traits on [`Memory`].

use platform::Error;
use platform::instance::List;
use platform::instance::Listed;
use platform::object;
use platform::rest;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;

use super::Faults;
use super::Memory;
use super::late::Late;
use super::memory::Shared;
use super::store::Store;

fn unavailable(reason: &str) -> Error {
    Error::Unavailable(reason.to_owned())
}

impl Shared {
    fn admit(&mut self, faults: Faults, over: bool) -> Result<(), Error> {
        if faults.down || faults.cut {
            self.counters.refused.count(self.now);
            return Err(unavailable(if faults.down { "down" } else { "cut off" }));
        }
        if faults.throttled || over {
            self.counters.throttled.count(self.now);
            return Err(unavailable("throttled"));
        }
        Ok(())
    }

    fn read<T>(
        &mut self,
        client: &str,
        answer: impl FnOnce(&Store, Faults, &Store) -> T,
    ) -> Result<T, Error> {
        let faults = self.switches.of_call(client);
        let within = self.counters.reads.within(self.now);
        self.admit(faults, self.capacity.is_some_and(|capacity| within >= capacity.reads))?;
        self.counters.reads.count(self.now);
        if faults.slow {
            return Err(unavailable("no answer within the deadline"));
        }
        Ok(answer(&self.store, faults, self.stale(client)))
    }

    fn read_state<T>(
        &mut self,
        client: &str,
        answer: impl FnOnce(&Store) -> T,
    ) -> Result<T, Error> {
        self.read(client, |now, faults, stale| answer(if faults.stale { stale } else { now }))
    }

    fn write<T>(
        &mut self,
        client: &str,
        late: impl FnOnce() -> Late,
        effect: impl FnOnce(&mut Store) -> T,
    ) -> Result<T, Error> {
        let faults = self.switches.of_call(client);
        let within = self.counters.writes.within(self.now);
        self.admit(faults, self.capacity.is_some_and(|capacity| within >= capacity.writes))?;
        self.counters.writes.count(self.now);
        if faults.slow {
            self.late.push(late());
            return Err(Error::Unknown("no answer within the deadline".to_owned()));
        }
        let answer = effect(&mut self.store);
        if faults.lost_reply {
            return Err(Error::Unknown("reply lost".to_owned()));
        }
        Ok(answer)
    }
}

impl Table for Memory {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.lock().read_state(self.name(), |store| store.get(key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let limit = limit.min(rest::PAGE);
        self.lock().read_state(self.name(), |store| store.scan(prefix, after, limit))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let late = || Late::Commit(transaction.clone());
        self.lock().write(self.name(), late, |store| store.commit(transaction))
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        let limit = limit.min(rest::PAGE);
        self.lock().read_state(self.name(), |store| store.changes(prefix, position, limit))
    }
}

impl object::Store for Memory {
    async fn put(&self, name: &str, body: &[u8]) -> Result<(), Error> {
        let late = || Late::Put(name.to_owned(), body.to_vec());
        self.lock().write(self.name(), late, |store| store.put_object(name, body))
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        self.lock().read_state(self.name(), |store| store.object(name))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        self.lock().read_state(self.name(), |store| store.object_names(prefix))
    }

    async fn remove(&self, name: &str) -> Result<(), Error> {
        let late = || Late::Remove(name.to_owned());
        self.lock().write(self.name(), late, |store| store.remove_object(name))
    }
}

impl List for Memory {
    async fn list(&self) -> Result<Vec<Listed>, Error> {
        let answer = |now: &Store, faults: Faults, stale: &Store| {
            let old = faults.lagging_list || faults.stale;
            if old { stale.instances.clone() } else { now.instances.clone() }
        };
        self.lock().read(self.name(), answer)
    }

    async fn restart(&self, name: &str, operation: &Operation) -> Result<(), Error> {
        let late = || Late::Restart(name.to_owned(), operation.clone());
        self.lock().write(self.name(), late, |store| store.restart(name, operation))
    }
}
