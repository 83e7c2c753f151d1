/*!
Who may write what.
*/

use {
    crate::settings::{Api, Operator},
    dewspar::config::{Change, Snapshot},
    displaydoc::Display,
    salvo::http::{HeaderMap, header},
    sha2::{Digest, Sha256},
};

/// Why a call was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(super) enum Refusal {
    /// a token is needed: send `authorization: Bearer …`
    Unknown,
    /// operator `{operator}` of partner `{partner}` may not change {resource}
    Forbidden {
        /// The operator's name.
        operator: String,
        /// The partner it belongs to.
        partner: String,
        /// What it tried to change.
        resource: String,
    },
}

impl std::error::Error for Refusal {}

/// Who makes a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Caller {
    name: String,
    // None may write everything.
    partner: Option<String>,
}

impl Caller {
    /// Finds out who makes a call.
    pub(super) fn of(
        settings: &Api,
        headers: &HeaderMap,
    ) -> Result<Caller, Refusal> {
        let header = headers.get(header::AUTHORIZATION);
        let token = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        let operator = token.and_then(|token| find(settings, token));
        match operator {
            Some(operator) => Ok(Caller {
                name: operator.name.clone(),
                partner: operator.partner.clone(),
            }),
            None if settings.allow_anonymous && token.is_none() => {
                let name = "anonymous".to_owned();
                Ok(Caller { name, partner: None })
            }
            None => Err(Refusal::Unknown),
        }
    }

    /// Returns the operator's name.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Checks that the caller may make a change.
    ///
    /// Neither what is there nor what would be there may be another's.
    pub(super) fn check(
        &self,
        change: &Change,
        snapshot: &Snapshot,
    ) -> Result<(), Refusal> {
        let Some(partner) = self.partner.as_deref() else { return Ok(()) };
        let (kind, name) = change.target();
        let refusal = || Refusal::Forbidden {
            operator: self.name.clone(),
            partner: partner.to_owned(),
            resource: format!("{kind} `{name}`"),
        };
        let current = snapshot.get(kind, name);
        if let Some(current) = current
            && snapshot.owner(current) != Some(partner)
        {
            return Err(refusal());
        }
        if let Change::Put { resource, .. } = change
            && !self.would_own(resource, snapshot, partner)
        {
            return Err(refusal());
        }
        Ok(())
    }

    fn would_own(
        &self,
        resource: &dewspar::config::Resource,
        snapshot: &Snapshot,
        partner: &str,
    ) -> bool {
        match resource.spec() {
            // A team names its partner itself.
            dewspar::config::Spec::Team(team) => team.partner == partner,
            _ => snapshot.owner(resource) == Some(partner),
        }
    }
}

/// Returns a token's digest, as settings have it.
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

fn find<'a>(settings: &'a Api, token: &str) -> Option<&'a Operator> {
    let digest = token_digest(token);
    // Digests are compared, so the time taken says nothing of the token.
    settings
        .operators
        .iter()
        .find(|operator| operator.token_sha256.eq_ignore_ascii_case(&digest))
}
