//! Replicas and the incarnations of their data folders.

use {
    crate::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// A replica together with one incarnation of its data folder.
///
/// The incarnation is chosen when the folder is first used and survives restarts. A folder that replaces a lost one
/// has a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub replica: InstanceId,
    /// Incarnation of its data folder.
    pub incarnation: Incarnation,
}

/// The admitted incarnation of each replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(Vec<Member>);

impl Members {
    /// The admitted incarnation of a replica.
    ///
    /// ```
    /// use hemlockford_core::consensus::{Member, Members};
    /// let mut members = Members::default();
    /// members.admit(Member { replica: "a".into(), incarnation: 1 });
    /// members.admit(Member { replica: "a".into(), incarnation: 2 });
    /// assert_eq!(members.incarnation("a"), Some(2));
    /// ```
    pub fn incarnation(&self, replica: &str) -> Option<Incarnation> {
        self.0.iter().find(|member| &*member.replica == replica).map(|member| member.incarnation)
    }

    /// Adds a replica or replaces its incarnation.
    pub fn admit(&mut self, member: Member) {
        match self.0.iter_mut().find(|existing| existing.replica == member.replica) {
            Some(existing) => *existing = member,
            None => self.0.push(member),
        }
    }

    /// Removes a replica.
    ///
    /// ```
    /// use hemlockford_core::consensus::{Member, Members};
    /// let mut members = Members::default();
    /// members.admit(Member { replica: "a".into(), incarnation: 1 });
    /// members.remove("a");
    /// assert!(members.is_empty());
    /// ```
    pub fn remove(&mut self, replica: &str) {
        self.0.retain(|existing| &*existing.replica != replica);
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The replicas with their admitted incarnations.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }
}
