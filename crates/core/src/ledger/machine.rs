//! The replicated state machine.

use {
    super::{
        ClaimKey, Command, ContentDigest, Evacuation, Holder, LedgerOutcome, SubmitOutcome, changes::Changes,
        claims::Claims, departures::Departures, evacuations::Evacuations,
    },
    crate::{
        errors::{Result, corrupt},
        ids::{ChangeNumber, DataCentreId, LogIndex, ServerId},
    },
    serde::{Deserialize, Serialize},
};

/// Version of the snapshot encoding, stored in the first byte. The evacuations follow the rest of the state.
const SNAPSHOT_VERSION: u8 = 3;
/// Version without evacuations. It is written until the first one is recorded, so that the former version of the program
/// can read the snapshot.
const VERSION_WITHOUT_EVACUATIONS: u8 = 2;
/// Version without departures, which were appended later.
const VERSION_WITHOUT_DEPARTURES: u8 = 1;

/// The replicated state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    applied: LogIndex,
    clock: u64,
    changes: Changes,
    claims: Claims,
    departures: Departures,
    /// Encoded after the rest, and only if there are any.
    #[serde(skip)]
    evacuations: Evacuations,
}

impl Ledger {
    /// Applies the command at a log index. An index that was already applied has no effect.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Ledger, LedgerOutcome, SubmitOutcome, ContentDigest};
    /// let mut ledger = Ledger::default();
    /// let submit = |text: &str| Command::Submit { number: 4, text: text.into() };
    /// let accepted = SubmitOutcome::Accepted { digest: ContentDigest::of(b"a") };
    /// assert_eq!(ledger.apply(1, submit("a")), LedgerOutcome::Submit(accepted));
    /// assert_eq!(ledger.apply(2, submit("a")), LedgerOutcome::Submit(accepted));
    /// let conflict = SubmitOutcome::Conflict { winner: ContentDigest::of(b"a") };
    /// assert_eq!(ledger.apply(3, submit("b")), LedgerOutcome::Submit(conflict));
    /// ```
    pub fn apply(&mut self, index: LogIndex, command: Command) -> LedgerOutcome {
        if index <= self.applied {
            return LedgerOutcome::AlreadyApplied;
        }
        self.applied = index;
        match command {
            Command::Noop { at } => {
                self.advance_clock(at);
                LedgerOutcome::Current(self.changes.number)
            }
            Command::Submit { number, text } => LedgerOutcome::Submit(self.changes.submit(number, text)),
            Command::Claim { key, holder, request_digest, retention_ms, at } => {
                self.advance_clock(at);
                LedgerOutcome::Claim(self.claims.claim(self.clock, key, holder, request_digest, retention_ms))
            }
            Command::Settle { key, holder, outcome, at } => {
                self.advance_clock(at);
                LedgerOutcome::Settle(self.claims.settle(self.clock, &key, &holder, outcome))
            }
            Command::Release { key, holder, at } => {
                self.advance_clock(at);
                LedgerOutcome::Release(self.claims.release(self.clock, &key, holder))
            }
            Command::Depart { server, incarnation, at } => {
                LedgerOutcome::Departed(self.departures.record(server, incarnation.unwrap_or(at)))
            }
            Command::Evacuate { data_centre, is_active, at } => {
                LedgerOutcome::Evacuated(self.evacuations.record(index, data_centre, is_active, at))
            }
        }
    }

    /// Applies an encoded command. After [`LedgerOutcome::Malformed`] the caller must not go on.
    pub fn apply_bytes(&mut self, index: LogIndex, command: &[u8]) -> LedgerOutcome {
        match Command::decode(command) {
            Ok(command) => self.apply(index, command),
            // The state stays as it is, so that it is not taken for one with this command.
            Err(_) => LedgerOutcome::Malformed,
        }
    }

    /// Encodes the state as a snapshot.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Ledger};
    /// let mut ledger = Ledger::default();
    /// ledger.apply(1, Command::Submit { number: 4, text: "a".into() });
    /// assert_eq!(Ledger::restore(&ledger.snapshot().unwrap()).unwrap(), ledger);
    /// assert!(Ledger::restore(&[0]).is_err());
    /// ```
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let snapshot = if self.evacuations.is_empty() {
            postcard::to_extend(self, vec![VERSION_WITHOUT_EVACUATIONS])
        } else {
            postcard::to_extend(&(self, &self.evacuations), vec![SNAPSHOT_VERSION])
        };
        snapshot.map_err(|e| corrupt(e.to_string()))
    }

    /// Restores the state from a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&SNAPSHOT_VERSION, body)) => {
                let (ledger, evacuations) =
                    postcard::from_bytes::<(Self, _)>(body).map_err(|e| corrupt(e.to_string()))?;
                Ok(Self { evacuations, ..ledger })
            }
            Some((&VERSION_WITHOUT_EVACUATIONS, body)) => {
                postcard::from_bytes(body).map_err(|e| corrupt(e.to_string()))
            }
            Some((&VERSION_WITHOUT_DEPARTURES, body)) => {
                let (applied, clock, changes, claims) =
                    postcard::from_bytes(body).map_err(|e| corrupt(e.to_string()))?;
                Ok(Self { applied, clock, changes, claims, ..Self::default() })
            }
            _ => Err(corrupt("unknown snapshot version")),
        }
    }

    /// Returns the number of the current change; 0 before the first.
    pub fn change_number(&self) -> ChangeNumber {
        self.changes.number
    }

    /// Returns the source text of the current configuration; empty before the first change.
    pub fn config_text(&self) -> &str {
        &self.changes.text
    }

    /// Returns the digest of an accepted change, if it is still kept.
    pub fn change_digest(&self, number: ChangeNumber) -> Option<ContentDigest> {
        self.changes.digest(number)
    }

    /// Returns the outcome of a submission whose number is not above the current one; `None` for a higher number,
    /// which has to be proposed.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Ledger, SubmitOutcome, ContentDigest};
    /// let mut ledger = Ledger::default();
    /// ledger.apply(1, Command::Submit { number: 4, text: "a".into() });
    /// let digest = ContentDigest::of(b"a");
    /// assert_eq!(ledger.resubmission_outcome(4, digest), Some(SubmitOutcome::Accepted { digest }));
    /// assert_eq!(ledger.resubmission_outcome(5, digest), None);
    /// ```
    pub fn resubmission_outcome(&self, number: ChangeNumber, digest: ContentDigest) -> Option<SubmitOutcome> {
        self.changes.resubmission_outcome(number, digest)
    }

    /// Returns the last departed incarnation of a server; earlier ones count as departed too.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Ledger};
    /// let mut ledger = Ledger::default();
    /// ledger.apply(1, Command::Depart { server: "a-1".into(), incarnation: Some(5), at: 9 });
    /// assert_eq!(ledger.departed_incarnation("a-1"), Some(5));
    /// ledger.apply(2, Command::Depart { server: "a-1".into(), incarnation: None, at: 9 });
    /// assert_eq!(ledger.departed_incarnation("a-1"), Some(9));
    /// ```
    pub fn departed_incarnation(&self, server: &str) -> Option<u64> {
        self.departures.get(server)
    }

    /// Returns the recorded departures, latest first.
    pub fn departures(&self) -> Vec<(&ServerId, u64)> {
        self.departures.latest()
    }

    /// Returns the last order for a data centre.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Evacuation, Ledger};
    /// let mut ledger = Ledger::default();
    /// ledger.apply(3, Command::Evacuate { data_centre: "north".into(), is_active: true, at: 9 });
    /// assert_eq!(ledger.evacuation("north"), Some(Evacuation { is_active: true, index: 3, at: 9 }));
    /// assert_eq!(ledger.evacuation("south"), None);
    /// ```
    pub fn evacuation(&self, data_centre: &str) -> Option<Evacuation> {
        self.evacuations.get(data_centre)
    }

    /// Returns whether the servers of a data centre get no calls.
    ///
    /// ```
    /// use hemlockford_core::ledger::{Command, Ledger};
    /// let mut ledger = Ledger::default();
    /// ledger.apply(1, Command::Evacuate { data_centre: "north".into(), is_active: true, at: 9 });
    /// assert!(ledger.is_evacuated("north"));
    /// ledger.apply(2, Command::Evacuate { data_centre: "north".into(), is_active: false, at: 9 });
    /// assert!(!ledger.is_evacuated("north"));
    /// ```
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuation(data_centre).is_some_and(|evacuation| evacuation.is_active)
    }

    /// Returns the evacuated data centres, by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuations.active()
    }

    /// Returns whether an order for a data centre was ever recorded.
    pub fn has_evacuations(&self) -> bool {
        !self.evacuations.is_empty()
    }

    /// Returns whether the evacuation of a data centre can be recorded; only a limited number can be evacuated.
    pub fn can_evacuate(&self, data_centre: &str) -> bool {
        self.evacuations.has_room_for(data_centre)
    }

    /// Returns the ledger time of the last command, in milliseconds.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the last applied log index.
    pub fn last_applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the attempt that holds a key.
    pub fn holder(&self, key: &ClaimKey) -> Option<&Holder> {
        self.claims.holder(key)
    }

    fn advance_clock(&mut self, at: u64) {
        self.clock = self.clock.max(at);
        self.claims.prune(self.clock);
    }
}
