use std::collections::BTreeSet;

use rattanwinch_types::value;

use crate::EndedTask;
use crate::RunId;
use crate::RunningTask;

value! { copy
    /// Whether a list names all that it is about.
    pub enum ListExtent {
        /// What is not listed does not exist.
        Complete,
        /// Further entries may exist: a target lists a limited number of ends at a time, and a row
        /// of the machine list may be unreadable.
        Partial,
    }
}

value! {
    /// A target's lists of its runs.
    pub struct RunLists {
        /// The running runs.
        pub running: Vec<RunningTask>,
        /// The ended runs that are not acknowledged yet, in sequence order.
        pub ended: Vec<EndedTask>,
        /// Whether runs may be missing in the lists.
        pub extent: ListExtent,
    }
}

value! { copy
    /// What the latest lists of its target say about a run.
    pub(crate) enum Presence {
        /// The run is listed as running.
        Running,
        /// Complete lists do not name the run: it is not on the target.
        Absent,
        /// No lists have been read yet, or they are partial and do not name the run.
        Unknown,
    }
}

impl RunLists {
    /// Lists without entries.
    #[must_use]
    pub const fn empty(extent: ListExtent) -> Self {
        Self {
            running: Vec::new(),
            ended: Vec::new(),
            extent,
        }
    }

    /// Returns what the lists say about runs that they do not name.
    ///
    /// This is the only source of [`Presence::Absent`], so nothing concludes from partial lists
    /// that a run is gone.
    pub(crate) const fn presence_of_others(&self) -> Presence {
        match self.extent {
            ListExtent::Complete => Presence::Absent,
            ListExtent::Partial => Presence::Unknown,
        }
    }

    /// Returns the runs whose ends are listed.
    pub(crate) fn ended_runs(&self) -> BTreeSet<&RunId> {
        self.ended.iter().map(|ended| &ended.run).collect()
    }
}
