//! Choice of the owner that an attempt is sent to: own endpoints while they have room, else the
//! better of two random peers by free capacity, with the sender's own recent forwards counted as
//! queued there.

use chervilfall_types::{DomainName, EntryId, Resources};
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::members::{Member, Members};

/// Which owners may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteScope<'a> {
    /// This instance.
    pub(crate) me: EntryId,
    /// Only owners of this domain; any if absent.
    pub(crate) domain: Option<&'a DomainName>,
    /// An owner that has just refused.
    pub(crate) avoid: Option<EntryId>,
}

/// Returns the owner for an attempt that needs `need`, if any owner is known.
pub(crate) fn choose(
    members: &Members,
    scope: RouteScope<'_>,
    need: &Resources,
    rng: &mut impl Rng,
) -> Option<EntryId> {
    let mut owners: Vec<(EntryId, &Member)> = members
        .iter()
        .filter(|(_, member)| member.usable() && member.summary.endpoints > 0)
        .filter(|(_, member)| scope.domain.is_none_or(|domain| member.domain == *domain))
        .collect();
    if owners.len() > 1 {
        owners.retain(|(entry, _)| Some(*entry) != scope.avoid);
    }
    let mine = owners.iter().find(|(entry, _)| *entry == scope.me);
    if let Some((entry, member)) = mine {
        if has_room(member, need) {
            return Some(*entry);
        }
    }
    let first = owners.choose(rng)?;
    let second = owners.choose(rng)?;
    Some(better(*first, *second, need))
}

fn has_room(member: &Member, need: &Resources) -> bool {
    load(member, need) < 0 && need.fits(&member.summary.largest_free)
}

fn better(first: (EntryId, &Member), second: (EntryId, &Member), need: &Resources) -> EntryId {
    if load(first.1, need) <= load(second.1, need) {
        return first.0;
    }
    second.0
}

/// Returns how many attempts would be ahead of one more, less the room there is for them.
fn load(member: &Member, need: &Resources) -> i64 {
    let room = need
        .amounts()
        .iter()
        .zip(member.summary.free.amounts())
        .filter(|(need, _)| **need > 0)
        .map(|(need, free)| free / need)
        .min()
        .unwrap_or(0);
    let ahead = i64::from(member.summary.queued) + i64::from(member.forwarded);
    ahead - i64::try_from(room).unwrap_or(i64::MAX)
}
