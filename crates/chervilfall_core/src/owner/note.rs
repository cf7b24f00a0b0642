//! The note that an owner leaves with a start order, for the next owner of the endpoint.

use chervilfall_types::{AttemptKey, Priority, Resources, ServiceName, TeamName, WorkClass};
use chervilfall_wire::{AttemptSpec, Requester};
use serde::{Deserialize, Serialize};

/// What a list of the endpoint does not say of an attempt.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct AttemptNote {
    requester: Requester,
    class: WorkClass,
    priority: Priority,
    team: TeamName,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    service: Option<ServiceName>,
}

impl AttemptNote {
    /// Returns the note of an attempt as text.
    pub(super) fn text(spec: &AttemptSpec) -> String {
        let note = Self {
            requester: spec.requester,
            class: spec.class,
            priority: spec.priority,
            team: spec.team.clone(),
            service: spec.service.clone(),
        };
        serde_json::to_string(&note).unwrap_or_default()
    }

    /// Returns the attempt that a note and a list describe together.
    pub(super) fn spec(text: &str, key: AttemptKey, resources: Resources) -> Option<AttemptSpec> {
        let note: Self = serde_json::from_str(text).ok()?;
        Some(AttemptSpec {
            key,
            requester: note.requester,
            class: note.class,
            priority: note.priority,
            team: note.team,
            service: note.service,
            resources,
            run_ms: 0,
            payload: String::new(),
        })
    }
}
