//! Size of a node as a holder: what limits it most, its processor or its link.

/// Processor that a holder's work needs for each Mbit/s of its link, in thousandths of a core.
const PERMILLE_PER_MBPS: f64 = 15.0;

/// Resources of a node that a holder's work needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeResources {
    /// CPU of its machine, in thousandths of a core.
    pub cpu_permille: u64,
    /// Rate of its link in Mbit/s; `None` if unknown, which counts as no limit.
    pub link_mbps: Option<f64>,
}

impl NodeResources {
    /// Returns the node's size: the CPU, in thousandths of a core, that its link can make use of.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn size_permille(&self) -> u64 {
        // The conversion saturates, and a link's rate is positive.
        let link_permille = self
            .link_mbps
            .map_or(u64::MAX, |mbps| (mbps * PERMILLE_PER_MBPS) as u64);
        self.cpu_permille.min(link_permille)
    }
}
